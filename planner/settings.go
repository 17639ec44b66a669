package planner

import "time"

// Settings bound the planner of an entry.
type Settings struct {
	// Lease is how long an entry plans without renewing its right to.
	Lease time.Duration
	// Standby is the mean pause of an entry that does not plan before it asks
	// for the right to again.
	Standby time.Duration
	// Interval is the pause between two looks at all replicas.
	Interval time.Duration
	// LoadsPerMinute is what the platform's weight store allows.
	LoadsPerMinute float64
}

// DefaultSettings are the defaults of the entry's settings.
func DefaultSettings() Settings {
	return Settings{Lease: 15 * time.Second, Standby: 90 * time.Second, Interval: time.Minute, LoadsPerMinute: 30}
}
