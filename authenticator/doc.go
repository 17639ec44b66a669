// Package authenticator identifies the workspace of a request from its key.
package authenticator
