// Package allocator decides when an entry may use a free place of a backend server that other
// entries see free, too. It doesn't read the clock.
package allocator
