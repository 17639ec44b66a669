// Package verifier holds the tests of the whole system: they build the
// commands, start them as separate processes on loopback and tell a story.
package verifier
