package executor

import "time"

// Settings bound what an Executor does and keeps.
type Settings struct {
	// Heartbeat is the interval of progress frames on a stream with no data.
	Heartbeat time.Duration
	// Retain is how long a finished answer may be read again.
	Retain time.Duration
	// RetainBytes bounds the answers that are kept.
	RetainBytes int
	// Abandon is how long an idempotent run goes on with nobody reading it.
	Abandon time.Duration
	// MaxRemaining bounds the time a request may ask for.
	MaxRemaining time.Duration
	// EngineAttempts is how often a broken engine stream is begun or resumed.
	EngineAttempts int
	// EngineRetryPause is the first pause between those.
	EngineRetryPause time.Duration
}

// DefaultSettings are the defaults of the sidecar's settings.
func DefaultSettings() Settings {
	return Settings{
		Heartbeat:        time.Second,
		Retain:           5 * time.Minute,
		RetainBytes:      16 << 20,
		Abandon:          10 * time.Second,
		MaxRemaining:     time.Hour,
		EngineAttempts:   3,
		EngineRetryPause: 100 * time.Millisecond,
	}
}
