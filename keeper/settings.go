package keeper

import "time"

// Settings limit a process's use of the key-value service.
type Settings struct {
	// CallTimeout is the deadline of each call except watches.
	CallTimeout time.Duration
	// WatchTimeout is the deadline of each watch; the watcher then polls again.
	WatchTimeout time.Duration
	// CallsPerSecond is the process's share of the service's rate.
	CallsPerSecond float64
	// Burst is how many calls may be made at once.
	Burst int
	// ValueBytes is the longest value that the service accepts, in bytes.
	ValueBytes int
	// Failures is how many failures in a row stop the calls until a probe succeeds.
	Failures int
	// FirstProbe is the mean pause before the first probe; it doubles with each
	// failed probe.
	FirstProbe time.Duration
	// LastProbe is the longest mean pause between probes.
	LastProbe time.Duration
}

// DefaultSettings are the defaults of every process.
func DefaultSettings() Settings {
	return Settings{
		CallTimeout:    2 * time.Second,
		WatchTimeout:   30 * time.Second,
		CallsPerSecond: 50,
		Burst:          100,
		ValueBytes:     MaxValueBytes,
		Failures:       5,
		FirstProbe:     500 * time.Millisecond,
		LastProbe:      5 * time.Second,
	}
}
