package placer

import (
	"time"

	"limpetrail/pacer"
)

// service is the state of a service: its servers, queue and runs.
type service struct {
	servers []*serverState
	queue   queue
	// running holds the online runs of this entry.
	running map[*Grant]bool
	// meanRun is the mean length of an online run.
	meanRun time.Duration
	// runLearned is set if meanRun is that of the complete responses of all entries.
	runLearned bool
	retryPacer pacer.Pacer
	// medianFirstBytes is the median time to the first bytes over the servers at medianAt.
	medianFirstBytes time.Duration
	medianAt         time.Time
	// softwareListedAt is when servers of each software version were last listed, as far as the
	// list has changed since.
	softwareListedAt map[string]time.Time
	// wakeAt is when the queue is served again because limits allow further requests; a past
	// time if that is not planned.
	wakeAt time.Time
}

// service returns the state of a service and creates it if needed. The mutex is held.
func (placer *Placer) service(name string) *service {
	state := placer.services[name]
	if state == nil {
		state = &service{meanRun: initialMeanRun, running: map[*Grant]bool{}, softwareListedAt: map[string]time.Time{}}
		placer.services[name] = state
	}

	return state
}

// estimateWait returns how long new work waits behind the work ahead, given the number of
// runs that free places for this entry; see shareOfRuns. The age of other entries' runs is
// unknown: their remaining times are assumed to be spread evenly from zero to the mean run.
func (service *service) estimateWait(now time.Time, ahead, share int) time.Duration {
	limited := map[string]bool{}

	for _, server := range service.servers {
		if server.limited() {
			limited[server.ID] = true
		}
	}

	runs := make([]time.Duration, 0, share)
	for grant := range service.running {
		if !limited[grant.Server.ID] {
			runs = append(runs, remaining(now.Sub(grant.grantedAt), service.expectedRun(grant)))
		}
	}

	unknown := share - len(runs)
	for number := range unknown {
		runs = append(runs, service.meanRun*time.Duration(number+1)/time.Duration(unknown+1))
	}

	return estimateWait(runs, ahead, service.meanRun)
}
