package keeper

import "time"

// Settings bound a process's use of the key-value service.
type Settings struct {
	// CallTimeout bounds each call but a watch.
	CallTimeout time.Duration
	// WatchTimeout bounds each watch; the watcher asks again.
	WatchTimeout time.Duration
	// CallsPerSecond is the process's share of the service's rate.
	CallsPerSecond float64
	// Burst is how many calls may go at once.
	Burst int
	// Failures in a row stop the calls until a trial succeeds.
	Failures int
	// FirstProbe is the mean pause before the first trial; it doubles with
	// each failed one.
	FirstProbe time.Duration
	// LastProbe is the longest mean pause between trials.
	LastProbe time.Duration
}

// DefaultSettings are the defaults of every process.
func DefaultSettings() Settings {
	return Settings{
		CallTimeout:    2 * time.Second,
		WatchTimeout:   30 * time.Second,
		CallsPerSecond: 50,
		Burst:          100,
		Failures:       5,
		FirstProbe:     500 * time.Millisecond,
		LastProbe:      5 * time.Second,
	}
}
