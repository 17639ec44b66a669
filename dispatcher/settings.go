package dispatcher

import "time"

// Settings hold the timeouts and retry limits of a Dispatcher.
type Settings struct {
	// Silence is how long a stream may send nothing before its connection counts
	// as broken. It is several heartbeats of the sidecar.
	Silence time.Duration
	// FirstFrame bounds the wait for the first frame, which a sidecar sends
	// at once. It is short because a pooled connection may be dead.
	FirstFrame time.Duration
	// Attempts bounds the attempts of a request that cost a replica work.
	Attempts int
	// Moves is the number of attempts of a request, including those that cost no
	// replica any work, after which no other replica is tried.
	Moves int
	// RetryShare is the number of retries allowed per successful request of a
	// service.
	RetryShare float64
	// RetryBurst bounds the retries that a service's budget can accumulate.
	RetryBurst float64
	// RetryPause is the maximum pause before the first retry.
	RetryPause time.Duration
	// RetryPauseLimit is the maximum pause before any retry.
	RetryPauseLimit time.Duration
	// Reconnects is how often in a row a broken stream is resumed without
	// receiving a frame.
	Reconnects int
	// ReconnectPause is the pause before the first reconnect; it doubles with
	// each.
	ReconnectPause time.Duration
	// RetryAfter is the delay given to a refused caller if the sidecar gave none.
	RetryAfter time.Duration
}

// DefaultSettings returns the defaults of the entry's settings.
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
