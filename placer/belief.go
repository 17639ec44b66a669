package placer

import (
	"time"

	"github.com/sirupsen/logrus"
)

func (placer *Placer) observe(observed Server, observation Observation, first time.Duration) {
	placer.mutex.Lock()
	defer placer.mutex.Unlock()

	server := placer.servers[observed.ID]
	if server == nil || server.Incarnation != observed.Incarnation {
		return
	}

	if (observation == Silent || observation == Broken) && placer.crowded(server.Service) {
		return
	}

	if server.health.observe(observation, first, time.Now()) {
		placer.Log.WithFields(logrus.Fields{
			"BackendServer": observed.ID, "Suspect": server.health.suspect(), "Observation": observation.String(),
		}).Warn("Belief about a backend server changed.")
	}
}

// maxSuspectShare of a service's servers may be suspect for silence or broken
// answers. If more are, the cause is probably elsewhere: the load, or a link.
const maxSuspectShare = 0.5

// crowded tells whether so many servers are suspect that one more says nothing.
func (placer *Placer) crowded(name string) bool {
	servers := placer.service(name).servers
	suspects := 0

	for _, server := range servers {
		if server.health.suspect() {
			suspects++
		}
	}

	return float64(suspects) >= maxSuspectShare*float64(len(servers))
}

// Suspects lists the servers that need a health check.
func (placer *Placer) Suspects() []Server {
	placer.mutex.Lock()
	defer placer.mutex.Unlock()

	found := []Server{}

	for _, server := range placer.servers {
		if server.health.suspect() && !server.Leaving {
			found = append(found, server.Server)
		}
	}

	return found
}

// Pass takes in a good health check.
func (placer *Placer) Pass(checked Server) {
	placer.mutex.Lock()
	defer placer.mutex.Unlock()

	server := placer.servers[checked.ID]
	if server == nil || server.Incarnation != checked.Incarnation || !server.health.suspect() {
		return
	}

	server.health.pass()
	placer.Log.WithField("BackendServer", checked.ID).Info("Backend server passed its health check.")
	placer.settle()
}
