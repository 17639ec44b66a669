// Package limiter holds callers' connections to the limits of the configuration
// in force, also those that were opened under an earlier one.
package limiter
