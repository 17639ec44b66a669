package placer

import (
	"maps"
	"slices"
	"time"

	"limpetrail/throttler"
)

// Status returns the state of the servers, ordered by ID.
func (placer *Placer) Status() []ServerStatus {
	placer.mutex.Lock()
	defer placer.mutex.Unlock()

	statuses := []ServerStatus{}

	for _, id := range slices.Sorted(maps.Keys(placer.servers)) {
		server := placer.servers[id]

		status := ServerStatus{
			Server: server.Server, Own: server.own, Others: server.others,
			Suspect: server.health.suspect(), Failing: server.health.failureShare, FirstBytes: server.health.firstBytes,
		}
		if server.gauge != nil {
			status.LearnedPlaces, status.Pace = server.gauge.LearnedPlaces(), server.gauge.Pace()
		}

		if server.limited() {
			status.Statement, status.OwnPerSecond = server.limit.Statement(), server.limit.PerSecond()
		}

		statuses = append(statuses, status)
	}

	return statuses
}

// ServerStatus is a server with its load and health as this entry sees them.
type ServerStatus struct {
	Server
	Own     Load
	Others  Load
	Suspect bool
	// Failing is the share of recent requests that failed, 0 to 1.
	Failing float64
	// FirstBytes is the mean time to the first bytes of an answer.
	FirstBytes time.Duration
	// LearnedPlaces is up to how many requests may run at the server, and Pace its time for a unit
	// of work as a multiple of its service's median, if they are learned.
	LearnedPlaces int     `json:",omitempty"`
	Pace          float64 `json:",omitempty"`
	// Statement is what the server says of the requests that it takes, and OwnPerSecond is how
	// many a second of a limit are this entry's.
	throttler.Statement
	OwnPerSecond float64 `json:",omitempty"`
}
