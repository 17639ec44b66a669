// Package allotter decides which entry may fill the free places of a backend server
// with batch work. It answers jobs that lie unevenly: those of an entry that stopped
// are all taken over by a few others, and one caller sends all its jobs to one entry.
// The places then go to the entries that have work for them.
package allotter
