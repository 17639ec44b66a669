// Package dispatcher sends requests from the entry to sidecars and returns their
// answers. It resumes an answer whose connection goes silent, retries requests
// that may be repeated, and ends each request with a typed outcome.
package dispatcher
