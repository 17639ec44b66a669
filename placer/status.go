package placer

import (
	"maps"
	"slices"
	"time"
)

// Status returns the state of the servers, ordered by ID.
func (placer *Placer) Status() []ServerStatus {
	placer.mutex.Lock()
	defer placer.mutex.Unlock()

	statuses := []ServerStatus{}

	for _, id := range slices.Sorted(maps.Keys(placer.servers)) {
		server := placer.servers[id]
		statuses = append(statuses, ServerStatus{
			Server: server.Server, Own: server.own, Others: server.others,
			Suspect: server.health.suspect(), Failing: server.health.failureShare, FirstBytes: server.health.firstBytes,
		})
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
}
