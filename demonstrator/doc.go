// Package demonstrator runs a small fleet in one process, for newcomers to try:
// stand-ins of the platform's services, sidecars and entries on loopback ports.
package demonstrator
