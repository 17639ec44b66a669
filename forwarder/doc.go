// Package forwarder sends a caller's request to a backend server and passes the
// answer back. It decides which attempts are made, when one is abandoned, and how an
// interrupted stream continues on another server.
package forwarder
