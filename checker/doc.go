// Package checker records what callers, backend servers and processes saw
// during a test, and checks the record against what must always hold. It
// decides from observations alone and trusts no part of the system.
package checker
