// Package keeper is the client of the platform's key-value service. Store has only
// what every platform offers: reads, compare-and-swap, leases and watches of single
// keys. Catalog adds ranges and transactions over several keys.
package keeper
