package placer

import "time"

// Observation is the way in which a backend server handled a request.
type Observation int

// Observations.
const (
	// Answered means that the first bytes of an answer came in time.
	Answered Observation = iota
	// Unreachable means that no connection could be made.
	Unreachable
	// Silent means that nothing arrived before the timeout.
	Silent
	// Broken means that an answer was truncated or could not be read.
	Broken
	// Full means that the server rejected the request because it is at its limit.
	Full
	// Complete means that a complete answer arrived.
	Complete
	// Failed means that the server answered with an error of its own.
	Failed
)

// String returns the observation's name in logs.
func (observation Observation) String() string {
	return [...]string{"Answered", "Unreachable", "Silent", "Broken", "Full", "Whole", "Failed"}[observation]
}

const (
	// brokenLimit is how many broken answers in a row make a server suspect. Single ones
	// are faults of requests, not of servers.
	brokenLimit = 3
	// silentLimit is how many timeouts in a row make a server suspect; one may be a lost
	// answer.
	silentLimit = 2
	// fullPause is how long a server that rejected a request as full gets no new work;
	// one of its requests ends in about that time.
	fullPause = 60 * time.Millisecond
	// failurePenalty is the cost, in places of load, of a server that fails all requests.
	// It is twice a server's own places, so that a server that fails a fifth of its
	// requests is avoided while others have a few free places.
	failurePenalty = 16.0
	// smoothingFactor is the weight of a new value in a moving average.
	smoothingFactor = 0.2
)

// health is the state of a server as seen from its requests.
type health struct {
	unreachable bool
	// brokenRow counts consecutive broken answers, silentRow consecutive timeouts.
	brokenRow int
	silentRow int
	fullUntil time.Time
	// failureShare is the share of recent requests that failed, 0 to 1. A passed health
	// check doesn't change it.
	failureShare float64
	// firstBytes is the mean time to the first bytes of an answer; 0 if unknown.
	firstBytes time.Duration
}

// suspect reports whether the server gets no work until a health check passes.
func (health *health) suspect() bool {
	return health.unreachable || health.brokenRow >= brokenLimit || health.silentRow >= silentLimit
}

// observe applies an observation and reports whether the server became suspect or ceased
// to be.
func (health *health) observe(observation Observation, firstBytes time.Duration, now time.Time) bool {
	wasSuspect := health.suspect()

	switch observation {
	case Answered:
		// Answers that were already under way don't clear an unreachable server, and
		// the start of an answer doesn't clear a server that truncates its answers.
		health.silentRow = 0
		health.firstBytes = movingAverage(health.firstBytes, firstBytes)
	case Complete:
		health.brokenRow = 0
		health.recordOutcome(0)
	case Failed:
		health.recordOutcome(1)
	case Unreachable:
		health.unreachable = true
	case Silent:
		health.silentRow++
		health.recordOutcome(1)
	case Broken:
		health.brokenRow++
		health.recordOutcome(1)
	case Full:
		health.fullUntil = now.Add(fullPause)
	}

	return wasSuspect != health.suspect()
}

// recordOutcome adds a request to failureShare: 1 if it failed, 0 otherwise.
func (health *health) recordOutcome(failed float64) {
	health.failureShare += smoothingFactor * (failed - health.failureShare)
}

// clear ends the suspect state after a passed health check.
func (health *health) clear() {
	health.unreachable = false
	health.brokenRow = 0
	health.silentRow = 0
}

// movingAverage adds a value to an exponential moving average; 0 stands for no average yet.
func movingAverage(average, value time.Duration) time.Duration {
	if average == 0 {
		return value
	}

	return average + time.Duration(smoothingFactor*float64(value-average))
}
