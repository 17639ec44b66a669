// Package archiver stores bulk data as immutable segments on the disks of the
// entries that have one, here called holders. A segment is named by the SHA-256 of
// its stored bytes and is copied to holders in different data centres. Only the
// records of the key-value service determine which segments exist.
package archiver
