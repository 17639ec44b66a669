package throttler

import (
	"sync"
	"time"
)

// Gate is the Throttle of the only process that sends requests to a backend server. It is safe
// for concurrent use.
type Gate struct {
	mutex    sync.Mutex
	throttle Throttle
}

// Reserve takes the right to send a request now, and returns 0. Without one it returns how
// long it takes until there may be one.
func (gate *Gate) Reserve(now time.Time) time.Duration {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()

	wait := gate.throttle.Wait(now)
	if wait == 0 {
		gate.throttle.Take(now)
	}

	return wait
}

// Count records a request that is sent without a reservation. Those with one wait for it.
func (gate *Gate) Count(now time.Time) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()

	gate.throttle.Take(now)
}

// Apply applies what an answer of the server says, and reports whether its limit changed.
func (gate *Gate) Apply(statement Statement, now time.Time) bool {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()

	return gate.throttle.Apply(statement, now, now)
}

// Reset forgets the limit of a server that has ended.
func (gate *Gate) Reset() {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()

	gate.throttle = Throttle{}
}
