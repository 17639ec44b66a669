package placer

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

// departureMemory is how long a departure is kept after its server was last
// listed. An entry that lapses with the platform's store is back within seconds.
const departureMemory = 10 * time.Minute

// Departure is one incarnation of a backend server that said that it leaves. No
// list, health check or later answer takes it back.
type Departure struct {
	ID          string
	Incarnation int64
}

// departureOf returns the departure that a server's leaving is.
func departureOf(server Server) Departure {
	return Departure{ID: server.ID, Incarnation: server.Incarnation}
}

// Leave takes in that a server said itself that it leaves. Evidence names what it
// said so in: a request, a health check or another entry.
func (placer *Placer) Leave(server Server, evidence string) {
	placer.Depart([]Departure{departureOf(server)}, evidence)
}

// Depart takes in several departures.
func (placer *Placer) Depart(departures []Departure, evidence string) {
	placer.mutex.Lock()
	defer placer.mutex.Unlock()

	news := false

	for _, departure := range departures {
		news = placer.depart(departure, evidence) || news
	}

	if news {
		placer.settle()
	}
}

// depart tells whether the departure was news. The mutex is held.
func (placer *Placer) depart(departure Departure, evidence string) bool {
	if _, known := placer.departures[departure]; known {
		return false
	}

	placer.departures[departure] = time.Now()

	if server := placer.servers[departure.ID]; server != nil && server.Incarnation == departure.Incarnation {
		server.Leaving = true
	}

	placer.Log.WithFields(logrus.Fields{
		"BackendServer": departure.ID, "Incarnation": departure.Incarnation, "Evidence": evidence,
	}).Info("Backend server says that it leaves.")

	return true
}

// departed tells whether this incarnation of a server said that it leaves. The
// mutex is held.
func (placer *Placer) departed(server Server) bool {
	_, departed := placer.departures[departureOf(server)]

	return departed
}

// forgetDepartures drops those of servers that have not been listed for long. The
// mutex is held.
func (placer *Placer) forgetDepartures(now time.Time) {
	for departure := range placer.departures {
		if server := placer.servers[departure.ID]; server != nil && server.Incarnation == departure.Incarnation {
			placer.departures[departure] = now
		}
	}

	maps.DeleteFunc(placer.departures, func(_ Departure, listed time.Time) bool { return now.Sub(listed) > departureMemory })
}

// Departures returns those of the servers that are still listed, for other entries.
func (placer *Placer) Departures() []Departure {
	placer.mutex.Lock()
	defer placer.mutex.Unlock()

	return slices.DeleteFunc(slices.Collect(maps.Keys(placer.departures)), func(departure Departure) bool {
		server := placer.servers[departure.ID]

		return server == nil || server.Incarnation != departure.Incarnation
	})
}

// withdrawn tells whether a server has left or begun to leave since a place there
// was given.
func (placer *Placer) withdrawn(granted Server) bool {
	placer.mutex.Lock()
	defer placer.mutex.Unlock()

	server := placer.servers[granted.ID]

	return server == nil || server.Incarnation != granted.Incarnation || server.Leaving
}
