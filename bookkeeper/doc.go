// Package bookkeeper stores jobs in the key-value service: their heads, items,
// results and partial output.
package bookkeeper
