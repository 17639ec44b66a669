// Package dispatcher takes a request from the entry to a sidecar and its answer
// back. It follows an answer over connections that go silent, repeats what may
// be repeated, and ends each request in a typed outcome.
package dispatcher
