// Package documenter generates the reference page of the settings from the
// comments and default values of the settings structs.
package documenter
