// Package resumer remembers at which software version of which service streams began, so that a
// caller can take one up where its text fits. Entries keep this in memory and tell holders, which
// outlive them.
package resumer
