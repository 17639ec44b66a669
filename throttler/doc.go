// Package throttler keeps the requests of one entry to a backend server within the entry's
// share of the rate that the server takes from all entries together. It doesn't read the
// clock.
package throttler
