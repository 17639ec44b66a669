// Package limiter enforces the current configuration's limits on the connections
// of callers, including connections that were opened under an earlier
// configuration.
package limiter
