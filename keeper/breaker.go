package keeper

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Breaker stops calls to a service that fails, and tries single calls at
// jittered intervals, so that many processes do not return at once.
type Breaker struct {
	// Failures in a row open the breaker.
	Failures int
	// FirstProbe is the mean pause before the first trial call; it doubles
	// with each failed trial up to LastProbe.
	FirstProbe time.Duration
	LastProbe  time.Duration

	mutex sync.Mutex
	// failed counts the failures in a row.
	failed int
	// nextProbe is when the next trial may go while the breaker is open.
	nextProbe time.Time
	pause     time.Duration
}

// NewBreaker returns a closed breaker.
func NewBreaker(failures int, firstProbe, lastProbe time.Duration) *Breaker {
	return &Breaker{Failures: failures, FirstProbe: firstProbe, LastProbe: lastProbe}
}

// Allow tells whether a call may go now. While the breaker is open it is true
// once for each trial.
func (breaker *Breaker) Allow() bool {
	breaker.mutex.Lock()
	defer breaker.mutex.Unlock()

	if breaker.failed < breaker.Failures {
		return true
	}

	if time.Now().Before(breaker.nextProbe) {
		return false
	}

	breaker.schedule()

	return true
}

// Open tells whether calls are being stopped.
func (breaker *Breaker) Open() bool {
	breaker.mutex.Lock()
	defer breaker.mutex.Unlock()

	return breaker.failed >= breaker.Failures
}

// Observe takes in how a call went, and returns true when that opened or
// closed the breaker.
func (breaker *Breaker) Observe(succeeded bool) bool {
	breaker.mutex.Lock()
	defer breaker.mutex.Unlock()

	open := breaker.failed >= breaker.Failures

	if succeeded {
		breaker.failed = 0
		breaker.pause = 0

		return open
	}

	breaker.failed++

	if !open && breaker.failed >= breaker.Failures {
		breaker.schedule()

		return true
	}

	return false
}

// schedule sets the time of the next trial, with the mutex held.
func (breaker *Breaker) schedule() {
	breaker.pause = min(max(2*breaker.pause, breaker.FirstProbe), breaker.LastProbe)
	breaker.nextProbe = time.Now().Add(breaker.pause/2 + rand.N(breaker.pause))
}
