// Package registrar registers this process in the list of members, which is stored
// in the key-value service. Each entry is attached to a lease of its process.
package registrar
