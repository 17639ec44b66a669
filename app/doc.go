// Package app assembles the processes (entry, sidecar, gateway, holder) from the
// other packages. It contains wiring and the start and stop order, no other logic.
package app
