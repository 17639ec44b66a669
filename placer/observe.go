package placer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// observe records how a server behaved towards a request. Silent and broken answers
// are ignored while too many of the service's servers are suspect, and silent ones of the only
// server that can get work: a sound server may be silent for a while.
func (placer *Placer) observe(observed Server, observation Observation, firstBytes time.Duration) {
	placer.mutex.Lock()
	defer placer.mutex.Unlock()

	server := placer.servers[observed.ID]
	if server == nil || server.Incarnation != observed.Incarnation {
		return
	}

	if (observation == Silent || observation == Broken) && placer.tooManySuspects(server.Service) {
		return
	}

	if observation == Silent && !placer.hasOtherUsable(server) {
		return
	}

	if server.health.observe(observation, firstBytes, time.Now()) {
		placer.Log.WithFields(logrus.Fields{
			"BackendServer": observed.ID, "Suspect": server.health.suspect(), "Observation": observation.String(),
		}).Warn("Health state of a backend server changed.")

		if !server.health.suspect() {
			placer.reconcile()
		}
	}
}

// maxSuspectShare is the share of a service's servers that may be suspect because of
// silence or broken answers. Beyond it, the cause is probably the load or a network
// link rather than the servers.
const maxSuspectShare = 0.5

// tooManySuspects reports whether maxSuspectShare of the service's servers are suspect.
func (placer *Placer) tooManySuspects(serviceName string) bool {
	servers := placer.service(serviceName).servers
	suspects := 0

	for _, server := range servers {
		if server.health.suspect() {
			suspects++
		}
	}

	return float64(suspects) >= maxSuspectShare*float64(len(servers))
}

// hasOtherUsable reports whether another server of the service can get work.
func (placer *Placer) hasOtherUsable(server *serverState) bool {
	return slices.ContainsFunc(placer.service(server.Service).servers, func(other *serverState) bool {
		return other != server && !other.Leaving && !other.health.suspect()
	})
}

// SuspectServers returns the servers that need a health check, which counts as a request for
// those that name a limit.
func (placer *Placer) SuspectServers() []Server {
	placer.mutex.Lock()
	defer placer.mutex.Unlock()

	suspects, now := []Server{}, time.Now()

	for _, server := range placer.servers {
		if server.health.suspect() && !server.Leaving && server.wait(now) == 0 {
			server.take(now)

			suspects = append(suspects, server.Server)
		}
	}

	return suspects
}

// CheckSuspects checks the suspect servers, all at once: silent ones must not delay the check of a
// server that answers again.
func (placer *Placer) CheckSuspects(ctx context.Context, isHealthy func(ctx context.Context, server Server) bool) {
	checks := sync.WaitGroup{}
	defer checks.Wait()

	for _, server := range placer.SuspectServers() {
		checks.Go(func() {
			if isHealthy(ctx, server) {
				placer.RecordPassedCheck(server)
			}
		})
	}
}

// RecordPassedCheck records that a server passed its health check.
func (placer *Placer) RecordPassedCheck(checked Server) {
	placer.mutex.Lock()
	defer placer.mutex.Unlock()

	server := placer.servers[checked.ID]
	if server == nil || server.Incarnation != checked.Incarnation || !server.health.suspect() {
		return
	}

	server.health.clear()
	placer.Log.WithField("BackendServer", checked.ID).Info("Backend server passed its health check.")
	placer.reconcile()
}
