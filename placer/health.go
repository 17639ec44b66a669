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
)

// String names the observation in logs.
func (observation Observation) String() string {
	return [...]string{"Answered", "Unreachable", "Silent", "Broken", "Full"}[observation]
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
	// smoothing is the weight of a new figure in a mean.
	smoothing = 0.2
)

// health is what requests showed of a server.
type health struct {
	unreachable bool
	broken      int
	silent      int
	fullUntil   time.Time
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
		// Answers that were under way do not clear an unreachable server.
		health.silent = 0
		health.broken = 0
		health.first = mean(health.first, first)
	case Unreachable:
		health.unreachable = true
	case Silent:
		health.silent++
	case Broken:
		health.broken++
	case Full:
		health.fullUntil = now.Add(fullPause)
	}

	return before != health.suspect()
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
