// Package verifier tests the whole system end to end: the tests build the
// commands, start them as separate processes on loopback addresses, and check what
// callers and operators see.
package verifier
