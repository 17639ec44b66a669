// Package driver speaks to the backend servers: model engines that batch
// continuously, and plain services. Only a sidecar uses it.
package driver
