package dispatcher

import "time"

// Settings bound what a Dispatcher does for one request.
type Settings struct {
	// Silence is how long a stream may send nothing before it is abandoned. It
	// is several heartbeats of the sidecar.
	Silence time.Duration
	// FirstFrame bounds the wait for the first frame, which a sidecar sends
	// at once; a pooled connection may be dead.
	FirstFrame time.Duration
	// Attempts is how many replicas a request may try under the retry budget.
	Attempts int
	// Moves bounds all attempts, with those that cost no replica any work.
	Moves int
	// RetryShare is the share of a service's successes that may be added as
	// repeated attempts.
	RetryShare float64
	// RetryBurst is how many repeated attempts can be saved up.
	RetryBurst float64
	// RetryPause is the longest pause before the first repeated attempt.
	RetryPause time.Duration
	// RetryPauseLimit is the longest pause before any.
	RetryPauseLimit time.Duration
	// Reconnects is how often in a row a broken stream is taken up again
	// without a frame.
	Reconnects int
	// ReconnectPause is the first pause between those; it doubles.
	ReconnectPause time.Duration
	// RetryAfter is the time to come back where nothing better is known.
	RetryAfter time.Duration
}

// DefaultSettings are the defaults of the entry's settings.
func DefaultSettings() Settings {
	return Settings{
		Silence:         3 * time.Second,
		FirstFrame:      500 * time.Millisecond,
		Attempts:        3,
		Moves:           8,
		RetryShare:      0.1,
		RetryBurst:      10,
		RetryPause:      20 * time.Millisecond,
		RetryPauseLimit: 200 * time.Millisecond,
		Reconnects:      3,
		ReconnectPause:  50 * time.Millisecond,
		RetryAfter:      time.Second,
	}
}
