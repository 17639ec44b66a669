// Package demonstrator runs a small fleet in one process: stand-ins of the
// platform, sidecars and entries on loopback ports, for a newcomer to try.
package demonstrator
