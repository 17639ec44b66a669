// Package driver calls the backend servers: model engines with continuous batching,
// and plain services. Only sidecars call them; the planner uses the types of orders.
package driver
