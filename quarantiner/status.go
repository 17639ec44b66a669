package quarantiner

import (
	"maps"
	"slices"
	"time"
)

// Status is the state of a suspected part, for operators.
type Status struct {
	Subject

	Quarantined  bool
	Strikes      int
	FailedTrials int
	// Servers are those that ended, and Requests the requests that they had not begun to
	// answer.
	Servers  []Incarnation
	Requests []string
	// Release is how long requests with the part are kept away from servers.
	Release time.Duration
}

// Status returns the parts with strikes.
func (quarantiner *Quarantiner) Status() []Status {
	quarantiner.mutex.Lock()
	defer quarantiner.mutex.Unlock()

	statuses := []Status{}

	for _, known := range slices.SortedFunc(maps.Values(quarantiner.suspects), compareSubjects) {
		if len(known.strikes) == 0 {
			continue
		}

		status := Status{Subject: known.subject, Quarantined: quarantiner.isQuarantined(known), Strikes: len(known.strikes), FailedTrials: known.failedTrials, Servers: known.servers()}
		for _, struck := range known.strikes {
			status.Requests = append(status.Requests, struck.requestID)
		}

		if status.Quarantined {
			status.Release = max(0, time.Until(quarantiner.turn(known, time.Now())))
		}

		statuses = append(statuses, status)
	}

	return statuses
}
