// Package executor runs requests at the sidecar's backend server. All requests
// to the backend server pass through it. It keeps finished answers so that
// they can be read again, and revokes requests permanently.
package executor
