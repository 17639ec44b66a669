package classifier

import "time"

// Fate is what is known about whether a request ran.
type Fate string

// The three words a caller may rely on.
const (
	// Answered means that the whole answer was delivered.
	Answered Fate = "Answered"
	// NotRun means that the request never started and never will.
	NotRun Fate = "NotRun"
	// MayHaveRun means that the request may have started.
	MayHaveRun Fate = "MayHaveRun"
)

// Outcome is the end of an attempt.
type Outcome struct {
	Fate Fate
	// Reason is a short sentence for the caller; empty when answered.
	Reason string
	// RetryAfter is when to come back; zero when there is no use in it.
	RetryAfter time.Duration
}

// Refuse returns the outcome of a request that never started.
func Refuse(reason string, retryAfter time.Duration) Outcome {
	return Outcome{Fate: NotRun, Reason: reason, RetryAfter: retryAfter}
}

// Lose returns the outcome of a request whose answer is lost.
func Lose(reason string, retryAfter time.Duration) Outcome {
	return Outcome{Fate: MayHaveRun, Reason: reason, RetryAfter: retryAfter}
}
