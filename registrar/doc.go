// Package registrar keeps this process's entry in the list of members, which
// the key-value service holds under a lease.
package registrar
