// Package loader reads the settings of a process from an INI file into one
// documented struct for each role. Unknown keys and bad values are faults.
package loader

//go:generate go run limpetrail/cmd/documenter
