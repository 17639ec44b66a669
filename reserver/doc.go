// Package reserver divides a process's memory for requests among callers. It decides without I/O.
package reserver
