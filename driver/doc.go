// Package driver calls the backend servers: model engines with continuous batching,
// and plain services. Only a sidecar uses it.
package driver
