package placer

import "time"

// Observation is how a backend server behaved towards a request.
type Observation int

// Observations.
const (
	// Answered means that the first bytes of an answer came in time.
	Answered Observation = iota
	// Unreachable means that no connection could be made.
	Unreachable
	// Silent means that nothing came within the time that it should.
	Silent
	// Broken means that an answer ended early or could not be read.
	Broken
	// Full means that the server turned the request away.
	Full
	// Whole means that an answer came to its good end.
	Whole
	// Failed means that the server answered that it failed.
	Failed
)

// String names the observation in logs.
func (observation Observation) String() string {
	return [...]string{"Answered", "Unreachable", "Silent", "Broken", "Full", "Whole", "Failed"}[observation]
}

const (
	// brokenLimit in a row make a server suspect. Single broken answers are
	// faults of requests, not of servers.
	brokenLimit = 3
	// silentLimit in a row make a server suspect: one may be a lost answer.
	silentLimit = 2
	// fullPause is how long a server that was full is passed over; about the
	// time in which one of its requests ends.
	fullPause = 60 * time.Millisecond
	// failLoss is how many places of load a server is charged that fails always:
	// twice its own, so that one that fails a fifth of its requests is passed
	// over while others have room for a few.
	failLoss = 16.0
	// smoothing is the weight of a new figure in a mean.
	smoothing = 0.2
)

// health is what requests showed of a server.
type health struct {
	unreachable bool
	// broken counts the answers in a row that ended early.
	broken    int
	silent    int
	fullUntil time.Time
	// failing is the part of the last requests that failed, 0 to 1. A health
	// check says nothing of it.
	failing float64
	// first is the mean time to the first bytes of an answer; 0 if unknown.
	first time.Duration
}

// suspect servers get no work until a health check passes.
func (health *health) suspect() bool {
	return health.unreachable || health.broken >= brokenLimit || health.silent >= silentLimit
}

// observe takes in an observation and tells whether the server became suspect
// or stopped being so.
func (health *health) observe(observation Observation, first time.Duration, now time.Time) bool {
	before := health.suspect()

	switch observation {
	case Answered:
		// Answers that were under way do not clear an unreachable server, nor
		// does one that has only begun clear one that breaks its answers off.
		health.silent = 0
		health.first = mean(health.first, first)
	case Whole:
		health.broken = 0
		health.fail(0)
	case Failed:
		health.fail(1)
	case Unreachable:
		health.unreachable = true
	case Silent:
		health.silent++
		health.fail(1)
	case Broken:
		health.broken++
		health.fail(1)
	case Full:
		health.fullUntil = now.Add(fullPause)
	}

	return before != health.suspect()
}

func (health *health) fail(failed float64) {
	health.failing += smoothing * (failed - health.failing)
}

// pass clears the server after a good health check.
func (health *health) pass() {
	health.unreachable = false
	health.broken = 0
	health.silent = 0
}

func mean(before, value time.Duration) time.Duration {
	if before == 0 {
		return value
	}

	return before + time.Duration(smoothing*float64(value-before))
}
