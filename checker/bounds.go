package checker

import "time"

// Bounds are the times that the rules allow.
type Bounds struct {
	// Leaving is how long a leaving process may still give its backend server
	// new work.
	Leaving time.Duration
	// InForce is how long an acknowledged configuration may take to reach a
	// process that is seen working.
	InForce time.Duration
}

// DefaultBounds follow the stated target: a few seconds to leave, and 5 s for a
// change of configuration.
func DefaultBounds() Bounds {
	return Bounds{Leaving: 3 * time.Second, InForce: 5 * time.Second}
}
