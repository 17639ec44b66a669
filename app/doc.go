// Package app wires the parts into processes. Nothing is decided here.
package app
