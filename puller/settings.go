package puller

import "time"

// Settings bound what a Puller does and keeps.
type Settings struct {
	// Interval is the least time between two questions for items.
	Interval time.Duration
	// MaxRunning bounds the items at this sidecar.
	MaxRunning int
	// BackoffFirst is the first pause before an entry that had no items is
	// asked again; it doubles.
	BackoffFirst time.Duration
	// BackoffMost is the longest such pause.
	BackoffMost time.Duration
	// CallLimit bounds one call of an entry.
	CallLimit time.Duration
	// ReportInterval is how long results wait for others to travel with.
	ReportInterval time.Duration
	// Heartbeat is the interval of the signs of life of running items.
	Heartbeat time.Duration
	// Keep is how long a result that no entry takes is kept.
	Keep time.Duration
	// BreakFirst is the first pause after the engine broke; it doubles.
	BreakFirst time.Duration
	// BreakMost is the longest such pause.
	BreakMost time.Duration
	// MaxResultBytes bounds one result.
	MaxResultBytes int
}

// DefaultSettings are the defaults of a sidecar's settings.
func DefaultSettings() Settings {
	return Settings{
		Interval:       50 * time.Millisecond,
		MaxRunning:     256,
		BackoffFirst:   250 * time.Millisecond,
		BackoffMost:    15 * time.Second,
		CallLimit:      10 * time.Second,
		ReportInterval: 250 * time.Millisecond,
		Heartbeat:      5 * time.Second,
		Keep:           10 * time.Minute,
		BreakFirst:     500 * time.Millisecond,
		BreakMost:      30 * time.Second,
		MaxResultBytes: 4 << 20,
	}
}
