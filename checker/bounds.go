package checker

import "time"

// Bounds are the durations that the rules allow.
type Bounds struct {
	// StartWhileLeaving is how long after a process began to leave requests may
	// still start at its backend server.
	StartWhileLeaving time.Duration
	// EditDelay is how long a process that works may use an older configuration
	// after a new one was acknowledged.
	EditDelay time.Duration
}

// DefaultBounds returns the bounds of the stated targets: a few seconds for a
// leaving process, and 5 s for a change of the configuration.
func DefaultBounds() Bounds {
	return Bounds{StartWhileLeaving: 3 * time.Second, EditDelay: 5 * time.Second}
}
