package puller

import "time"

// Settings hold the intervals and limits of a Puller.
type Settings struct {
	// Interval is the minimum time between two fetches of items.
	Interval time.Duration
	// MaxRunning bounds the items at this sidecar, including those with an
	// unreported result.
	MaxRunning int
	// BackoffFirst is the first pause before an entry that had no items is
	// asked again; it doubles.
	BackoffFirst time.Duration
	// BackoffMost is the maximum of that pause.
	BackoffMost time.Duration
	// CallLimit is the timeout of one call to an entry, and of a health check.
	CallLimit time.Duration
	// ReportInterval is how long a result waits for others to share its report.
	ReportInterval time.Duration
	// Heartbeat is the interval at which running items are reported.
	Heartbeat time.Duration
	// Keep is how long a result that no entry accepts is kept.
	Keep time.Duration
	// BreakFirst is the pause after the backend server's first failure; it
	// doubles with each failure in a row.
	BreakFirst time.Duration
	// BreakMost is the maximum of that pause.
	BreakMost time.Duration
	// MaxResultBytes bounds one result.
	MaxResultBytes int
}

// DefaultSettings returns the defaults of a sidecar's settings.
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
