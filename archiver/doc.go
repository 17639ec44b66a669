// Package archiver keeps bulk data as immutable segments on the disks of the
// entries that have one. A segment is named by the SHA-256 of its stored bytes
// and lies with holders in different data centres. Which segments exist is said
// by the records of the key-value service alone.
package archiver
