// Package documenter writes the reference page of the settings from the
// comments and defaults of their structs.
package documenter
