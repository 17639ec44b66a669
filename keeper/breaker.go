package keeper

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Breaker is a circuit breaker. It stops calls to a failing service and allows
// single probes at jittered intervals, so that many processes do not resume their
// calls at the same time.
type Breaker struct {
	// FailureThreshold is how many failures in a row open the breaker.
	FailureThreshold int
	// MinProbeInterval is the mean pause before the first probe; it doubles with each
	// failed probe up to MaxProbeInterval.
	MinProbeInterval time.Duration
	MaxProbeInterval time.Duration

	mutex               sync.Mutex
	consecutiveFailures int
	// nextProbe is when the next probe is allowed while the breaker is open.
	nextProbe time.Time
	// probeInterval is the present mean pause between probes.
	probeInterval time.Duration
}

// NewBreaker returns a closed breaker.
func NewBreaker(failures int, minProbeInterval, maxProbeInterval time.Duration) *Breaker {
	return &Breaker{FailureThreshold: failures, MinProbeInterval: minProbeInterval, MaxProbeInterval: maxProbeInterval}
}

// Allow returns whether a call may be made now. While the breaker is open it
// returns true once for each probe.
func (breaker *Breaker) Allow() bool {
	breaker.mutex.Lock()
	defer breaker.mutex.Unlock()

	if breaker.consecutiveFailures < breaker.FailureThreshold {
		return true
	}

	if time.Now().Before(breaker.nextProbe) {
		return false
	}

	breaker.scheduleProbe()

	return true
}

// IsOpen returns whether the breaker stops calls.
func (breaker *Breaker) IsOpen() bool {
	breaker.mutex.Lock()
	defer breaker.mutex.Unlock()

	return breaker.consecutiveFailures >= breaker.FailureThreshold
}

// RecordResult records the result of a call, and returns whether it opened or closed
// the breaker.
func (breaker *Breaker) RecordResult(succeeded bool) bool {
	breaker.mutex.Lock()
	defer breaker.mutex.Unlock()

	wasOpen := breaker.consecutiveFailures >= breaker.FailureThreshold

	if succeeded {
		breaker.consecutiveFailures = 0
		breaker.probeInterval = 0

		return wasOpen
	}

	breaker.consecutiveFailures++

	if !wasOpen && breaker.consecutiveFailures >= breaker.FailureThreshold {
		breaker.scheduleProbe()

		return true
	}

	return false
}

// scheduleProbe sets the time of the next probe. The caller holds the mutex.
func (breaker *Breaker) scheduleProbe() {
	breaker.probeInterval = min(max(2*breaker.probeInterval, breaker.MinProbeInterval), breaker.MaxProbeInterval)
	breaker.nextProbe = time.Now().Add(breaker.probeInterval/2 + rand.N(breaker.probeInterval))
}
