// Package classifier defines the outcome of an attempt, and the problem
// document (RFC 9457) that reports an outcome to the caller.
package classifier
