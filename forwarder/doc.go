// Package forwarder takes a caller's request to a backend server and its answer
// back: which attempts there are, when one is given up, and how a stream goes
// on elsewhere.
package forwarder
