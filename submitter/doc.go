// Package submitter implements the HTTP API of batch jobs: uploading files of
// items as JSONL, creating batches in the format of common inference clients, and
// reading their status and results and cancelling them.
package submitter
