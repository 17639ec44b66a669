package classifier

import "time"

// Fate says, as far as is known, whether a request ran.
type Fate string

// The values of Fate. Callers see them and may rely on them.
const (
	// Answered means that the whole answer was delivered.
	Answered Fate = "Answered"
	// NotRun means that the request never started and never will.
	NotRun Fate = "NotRun"
	// MayHaveRun means that the request may have started.
	MayHaveRun Fate = "MayHaveRun"
)

// Outcome is the result of an attempt.
type Outcome struct {
	Fate Fate
	// Reason is a short sentence for the caller; empty when answered.
	Reason string
	// RetryAfter is the time after which the caller should retry; zero if a
	// retry is pointless.
	RetryAfter time.Duration
}

// NewNotRun returns the outcome of a request that never started.
func NewNotRun(reason string, retryAfter time.Duration) Outcome {
	return Outcome{Fate: NotRun, Reason: reason, RetryAfter: retryAfter}
}

// NewMayHaveRun returns the outcome of a request that may have run but whose
// answer was lost.
func NewMayHaveRun(reason string, retryAfter time.Duration) Outcome {
	return Outcome{Fate: MayHaveRun, Reason: reason, RetryAfter: retryAfter}
}
