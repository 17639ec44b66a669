package planner

import "time"

// Settings configures the planner of an entry.
type Settings struct {
	// Lease is how long an entry may plan after its lease was last renewed.
	Lease time.Duration
	// Standby is the mean pause between two requests for the lease by an entry
	// that does not hold it.
	Standby time.Duration
	// Interval is the longest pause between two rounds, which each query all
	// replicas; a changed document starts the next round earlier.
	Interval time.Duration
	// LoadsPerMinute is the limit of load orders a minute that the platform's
	// weight store allows.
	LoadsPerMinute float64
}

// DefaultSettings returns the default settings of an entry.
func DefaultSettings() Settings {
	return Settings{Lease: 15 * time.Second, Standby: 90 * time.Second, Interval: time.Minute, LoadsPerMinute: 30}
}
