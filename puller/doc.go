// Package puller fetches batch items for a sidecar whenever its backend server has
// free capacity, runs them and reports their results to the entries.
package puller
