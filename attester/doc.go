// Package attester finds out whether a backend server is still the start of its process that the
// platform's list shows. A server may start again under its ID, with other software, before the
// list shows it.
package attester
