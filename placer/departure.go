package placer

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

// departureRetention is how long a departure is kept after its server was last listed.
// A server can be missing from the platform's list for a while; it is listed again within
// seconds.
const departureRetention = 10 * time.Minute

// Departure is an incarnation of a backend server that announced that it is leaving. No
// server list, health check or later answer revokes it.
type Departure struct {
	ID          string
	Incarnation int64
}

// departureOf returns the departure of a server's incarnation.
func departureOf(server Server) Departure {
	return Departure{ID: server.ID, Incarnation: server.Incarnation}
}

// MarkLeaving records that a server announced that it is leaving. The evidence says where it
// did so: in an answer to a request, a health check or the report of another entry.
func (placer *Placer) MarkLeaving(server Server, evidence string) {
	placer.RecordDepartures([]Departure{departureOf(server)}, evidence)
}

// RecordDepartures records departures, as from another entry's report.
func (placer *Placer) RecordDepartures(departures []Departure, evidence string) {
	placer.mutex.Lock()
	defer placer.mutex.Unlock()

	added := false

	for _, departure := range departures {
		added = placer.addDeparture(departure, evidence) || added
	}

	if added {
		placer.reconcile()
	}
}

// addDeparture records a departure and reports whether it was new. The mutex is held.
func (placer *Placer) addDeparture(departure Departure, evidence string) bool {
	if _, known := placer.departures[departure]; known {
		return false
	}

	placer.departures[departure] = time.Now()

	if server := placer.servers[departure.ID]; server != nil && server.Incarnation == departure.Incarnation {
		server.Leaving = true
	}

	placer.Log.WithFields(logrus.Fields{
		"BackendServer": departure.ID, "Incarnation": departure.Incarnation, "Evidence": evidence,
	}).Info("Backend server announced that it is leaving.")

	return true
}

// isDeparting reports whether this incarnation of a server announced that it is leaving.
// The mutex is held.
func (placer *Placer) isDeparting(server Server) bool {
	_, departing := placer.departures[departureOf(server)]

	return departing
}

// pruneDepartures drops the departures of servers that have not been listed for
// departureRetention. The mutex is held.
func (placer *Placer) pruneDepartures(now time.Time) {
	for departure := range placer.departures {
		if server := placer.servers[departure.ID]; server != nil && server.Incarnation == departure.Incarnation {
			placer.departures[departure] = now
		}
	}

	maps.DeleteFunc(placer.departures, func(_ Departure, lastListed time.Time) bool { return now.Sub(lastListed) > departureRetention })
}

// Departures returns the departures of servers that are still listed, to be reported to
// other entries.
func (placer *Placer) Departures() []Departure {
	placer.mutex.Lock()
	defer placer.mutex.Unlock()

	return slices.DeleteFunc(slices.Collect(maps.Keys(placer.departures)), func(departure Departure) bool {
		server := placer.servers[departure.ID]

		return server == nil || server.Incarnation != departure.Incarnation
	})
}

// withdrawn reports whether a server has left or begun to leave since a place on it was
// granted.
func (placer *Placer) withdrawn(granted Server) bool {
	placer.mutex.Lock()
	defer placer.mutex.Unlock()

	server := placer.servers[granted.ID]

	return server == nil || server.Incarnation != granted.Incarnation || server.Leaving
}
