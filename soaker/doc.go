// Package soaker runs soak tests: it injects faults, drawn by a seed, into a
// deployment of separate processes, and checks what callers and backend servers see.
package soaker
