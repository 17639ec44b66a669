// Package submitter answers callers about batch jobs over HTTP: files of items
// as JSONL, batches in the shape that inference clients speak, their status,
// results and cancellation.
package submitter
