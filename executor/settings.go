package executor

import "time"

// Settings holds the timeouts and limits of an Executor.
type Settings struct {
	// Heartbeat is the interval of progress frames on a stream without data.
	Heartbeat time.Duration
	// Retain is how long a finished answer can be read again.
	Retain time.Duration
	// RetainBytes limits the total size of the finished answers that are kept.
	RetainBytes int
	// Records limits the ended requests that are remembered. Beyond it, requests
	// already in transit are refused as not run and can be sent again.
	Records int
	// AnswerBytes limits the size of one answer.
	AnswerBytes int
	// Linger is how long a leaving sidecar waits before it exits, so that its last
	// answers and refusals can be read. It must exceed the dispatcher's Silence:
	// an entry notices only after that time that its connection has gone silent,
	// and then continues reading over another one.
	Linger time.Duration
	// LeavingStart is how long a leaving sidecar may still start or retry
	// accepted requests at its backend server.
	LeavingStart time.Duration
	// LoadAge is how long data frames share one load report.
	LoadAge time.Duration
	// EngineSilence is how long an engine's stream may yield no token before it
	// is cancelled.
	EngineSilence time.Duration
	// CancelTimeout limits the wait for an engine to confirm a cancellation.
	CancelTimeout time.Duration
	// ServiceSilence is the timeout of an idempotent call to a plain service,
	// after which it is retried. Other calls may take until their deadline.
	ServiceSilence time.Duration
	// LimitWait is how long an online request waits for its turn at a backend server that
	// names a limit; it is refused at once if it would wait for longer.
	LimitWait time.Duration
	// Abandon is how long an idempotent run continues without a reader.
	Abandon time.Duration
	// MaxRemaining limits the time that a request may ask for.
	MaxRemaining time.Duration
	// EngineAttempts is the maximum number of attempts of a request whose
	// attempts at the backend server break.
	EngineAttempts int
	// EngineRetryPause is the base of the exponential backoff between them.
	EngineRetryPause time.Duration
}

// DefaultSettings returns the defaults of the sidecar's settings.
func DefaultSettings() Settings {
	return Settings{
		Heartbeat:        time.Second,
		Retain:           5 * time.Minute,
		RetainBytes:      16 << 20,
		Records:          100_000,
		AnswerBytes:      16 << 20,
		Linger:           5 * time.Second,
		LeavingStart:     2 * time.Second,
		LoadAge:          100 * time.Millisecond,
		LimitWait:        100 * time.Millisecond,
		EngineSilence:    5 * time.Second,
		CancelTimeout:    time.Second,
		ServiceSilence:   30 * time.Second,
		Abandon:          10 * time.Second,
		MaxRemaining:     time.Hour,
		EngineAttempts:   3,
		EngineRetryPause: 100 * time.Millisecond,
	}
}
