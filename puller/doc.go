// Package puller fetches batch items for a sidecar whenever its backend server
// has room, runs them and reports their results to the entries.
package puller
