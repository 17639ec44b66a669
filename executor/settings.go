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
	// Records bounds the ended requests that are remembered. Beyond it every
	// request already on its way is refused as not run, and may come again.
	Records int
	// AnswerBytes bounds one answer.
	AnswerBytes int
	// Linger is how long a leaving sidecar lets its last answers be read and
	// its refusals be heard before it exits. An entry that reads over a
	// connection gone silent notices after the dispatcher's Silence and then
	// reads on over another, so it is longer than that.
	Linger time.Duration
	// LeavingStart is how long a leaving sidecar may still give its backend
	// server work that it had accepted before, anew or again.
	LeavingStart time.Duration
	// LoadAge is how long data frames share one load report.
	LoadAge time.Duration
	// EngineSilence is how long an engine's stream may yield no token before
	// it is given up.
	EngineSilence time.Duration
	// CancelTimeout bounds the wait for an engine to confirm a cancel.
	CancelTimeout time.Duration
	// ServiceSilence bounds one idempotent call of a plain service, which is
	// then made again. Others may take until their deadline.
	ServiceSilence time.Duration
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
		Records:          100_000,
		AnswerBytes:      16 << 20,
		Linger:           5 * time.Second,
		LeavingStart:     2 * time.Second,
		LoadAge:          100 * time.Millisecond,
		EngineSilence:    5 * time.Second,
		CancelTimeout:    time.Second,
		ServiceSilence:   30 * time.Second,
		Abandon:          10 * time.Second,
		MaxRemaining:     time.Hour,
		EngineAttempts:   3,
		EngineRetryPause: 100 * time.Millisecond,
	}
}
