// Package matcher finds the route of a request in the configuration.
package matcher
