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
	// Attempts is how many replicas an idempotent request may try.
	Attempts int
	// Reconnects is how often a broken stream is taken up again.
	Reconnects int
	// ReconnectPause is the first pause between those; it doubles.
	ReconnectPause time.Duration
	// RetryAfter is the time to come back where nothing better is known.
	RetryAfter time.Duration
}

// DefaultSettings are the defaults of the entry's settings.
func DefaultSettings() Settings {
	return Settings{
		Silence:        3 * time.Second,
		FirstFrame:     500 * time.Millisecond,
		Attempts:       3,
		Reconnects:     3,
		ReconnectPause: 50 * time.Millisecond,
		RetryAfter:     time.Second,
	}
}
