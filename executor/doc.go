// Package executor runs requests at the backend server. It is the body of the
// sidecar: the only way to its backend server, the keeper of answers that may
// be read again, and the place where a request is revoked for good.
package executor
