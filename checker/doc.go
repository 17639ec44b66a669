// Package checker records what callers, backend servers and processes observed
// during a test, and checks this history against rules that must always hold.
// It uses these observations only and trusts no part of the system.
package checker
