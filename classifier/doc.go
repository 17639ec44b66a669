// Package classifier turns what happened to an attempt into a typed outcome,
// and an outcome into the problem document (RFC 9457) that a caller reads.
package classifier
