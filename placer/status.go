package placer

import (
	"maps"
	"slices"
	"time"
)

// Status describes the servers in the order of their names.
func (placer *Placer) Status() []ServerStatus {
	placer.mutex.Lock()
	defer placer.mutex.Unlock()

	found := []ServerStatus{}

	for _, id := range slices.Sorted(maps.Keys(placer.servers)) {
		server := placer.servers[id]
		found = append(found, ServerStatus{
			Server: server.Server, Own: server.own, Others: server.others,
			Suspect: server.health.suspect(), Failing: server.health.failing, FirstBytes: server.health.first,
		})
	}

	return found
}

// ServerStatus is what this entry believes about a server.
type ServerStatus struct {
	Server
	Own     Load
	Others  Load
	Suspect bool
	// Failing is the part of the last requests that failed, 0 to 1.
	Failing float64
	// FirstBytes is the mean time to the first bytes of an answer.
	FirstBytes time.Duration
}
