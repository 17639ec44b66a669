package retrier

import (
	"math/rand/v2"
	"time"
)

// Backoff spreads repeated attempts over time.
type Backoff struct {
	// Base is the longest first pause; it doubles with each attempt.
	Base time.Duration
	// Limit is the longest pause of all.
	Limit time.Duration
}

// Pause returns a pause between zero and the bound of the attempt, counted
// from 0 ("full jitter", Brooker, "Exponential Backoff And Jitter", 2015).
func (backoff Backoff) Pause(attempt int) time.Duration {
	bound := backoff.Base
	for range attempt {
		bound = min(2*bound, backoff.Limit)
	}

	if bound <= 0 {
		return 0
	}

	return rand.N(bound)
}

// Spread returns a time between the given one and one and a half of it, so
// that callers who were told to come back don't come back together.
func Spread(after time.Duration) time.Duration {
	if after < 2 {
		return after
	}

	return after + rand.N(after/2)
}
