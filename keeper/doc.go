// Package keeper is the system's way to the platform's key-value service. The
// interface is as narrow as what the platform promises: reads,
// compare-and-swap, leases and watches of single keys.
package keeper
