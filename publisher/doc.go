// Package publisher distributes the configuration document to every process.
// Each process applies the highest revision that it received from the key-value
// service or from a peer, and never returns to a lower one.
package publisher
