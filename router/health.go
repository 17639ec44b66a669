package router

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// failuresToEject is how many consecutive failures eject a replica.
	failuresToEject = 3
	minEjection     = 2 * time.Second
	maxEjection     = time.Minute
)

// health is passive outlier detection for one replica: consecutive failures
// eject it from routing. When the ejection ends, one trial request is sent; its
// success returns the replica, its failure ejects it for twice as long.
type health struct {
	mutex sync.Mutex
	// failures counts consecutive failures; any answer resets it, including a
	// refusal.
	failures int
	// ejectedUntil is the end of the current ejection; zero when not ejected.
	ejectedUntil time.Time
	// ejectionLength is the length of the last ejection before jitter.
	ejectionLength time.Duration
	// trialRunning is set while the single trial request is in flight.
	trialRunning bool
}

// isEjected reports whether the replica must not get requests now.
func (health *health) isEjected(now time.Time) bool {
	health.mutex.Lock()
	defer health.mutex.Unlock()

	return !health.ejectedUntil.IsZero() && (health.trialRunning || now.Before(health.ejectedUntil))
}

// attemptStarted marks the attempt as the trial request if the replica has not
// returned from an ejection yet.
func (health *health) attemptStarted() {
	health.mutex.Lock()
	defer health.mutex.Unlock()

	health.trialRunning = !health.ejectedUntil.IsZero()
}

// recordResult records the result of an attempt. It returns true if this ejected
// the replica or ended its ejection.
func (health *health) recordResult(result Result, now time.Time) bool {
	health.mutex.Lock()
	defer health.mutex.Unlock()

	health.trialRunning = false

	if result != ResultFailed {
		returned := !health.ejectedUntil.IsZero()
		health.failures = 0
		health.ejectedUntil = time.Time{}
		health.ejectionLength = 0

		return returned
	}

	health.failures++
	if health.failures < failuresToEject {
		return false
	}

	health.ejectionLength = min(max(2*health.ejectionLength, minEjection), maxEjection)
	health.ejectedUntil = now.Add(health.ejectionLength/2 + rand.N(health.ejectionLength))

	return true
}
