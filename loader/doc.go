// Package loader reads the settings of a process from an INI file into a documented
// struct for each kind of process. Unknown keys and invalid values are errors.
package loader

//go:generate go run limpetrail/cmd/documenter
