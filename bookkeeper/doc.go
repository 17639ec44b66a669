// Package bookkeeper writes and reads the records of jobs in the key-value
// service: heads, items, results and partial output.
package bookkeeper
