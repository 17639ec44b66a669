package retrier

import (
	"math/rand/v2"
	"time"
)

// Backoff computes the random pauses between attempts. Their upper bound grows
// exponentially.
type Backoff struct {
	// Base bounds the first pause; the bound doubles with each attempt.
	Base time.Duration
	// MaxPause bounds all further pauses.
	MaxPause time.Duration
}

// Pause returns a random pause between zero and the bound of the attempt, which is
// counted from 0 ("full jitter", Brooker, "Exponential Backoff And Jitter", 2015).
func (backoff Backoff) Pause(attempt int) time.Duration {
	bound := backoff.Base
	for range attempt {
		bound = min(2*bound, backoff.MaxPause)
	}

	if bound <= 0 {
		return 0
	}

	return rand.N(bound)
}

// AddJitter returns a random time between after and 1.5 times after, so that callers
// that got the same retry time do not all retry at once.
func AddJitter(after time.Duration) time.Duration {
	if after < 2 {
		return after
	}

	return after + rand.N(after/2)
}
