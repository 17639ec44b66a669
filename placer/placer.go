package placer

import (
	"context"
	"slices"
	"sync"
	"time"

	"limpetrail/gauger"
	"limpetrail/kernel"
	"limpetrail/pacer"
)

// reportLifetime is how long another entry's report counts: a little more than twice the
// longest report interval. An entry that is gone runs nothing.
const reportLifetime = time.Second

// Placer grants the places of backend servers to requests.
type Placer struct {
	kernel.Common

	mutex sync.Mutex
	// servers holds the listed servers by ID.
	servers  map[string]*serverState
	services map[string]*service
	// departures holds the incarnations that announced that they are leaving, and when
	// each was last listed.
	departures map[Departure]time.Time
	// listedSince is when this entry first got a list of servers.
	listedSince time.Time
	// limits holds what the servers said of the requests that they take, by start.
	limits map[serverStart]*limit
	// reports holds the latest reports of other entries by name, until they expire.
	reports map[string]report
	// listedPeers holds the data centres of the other entries that the platform lists, by
	// name. reportMissing is set while there is no fresh report of some of them.
	listedPeers   map[string]string
	reportMissing bool
	// loadChanged is closed and replaced when the load of this entry changes.
	loadChanged chan struct{}
	// batchCapacityChanged is closed and replaced when batch work may find a place.
	batchCapacityChanged chan struct{}
	// gauger learns the capacity of the servers; nil for none.
	gauger *gauger.Gauger
}

// report is the load of another entry, by server ID.
type report struct {
	dataCentre string
	loads      map[string]Load
	receivedAt time.Time
}

// NewPlacer returns a placer without servers.
func NewPlacer(common kernel.Common, options ...Option) *Placer {
	placer := &Placer{
		Common:               common.ForPart("placer"),
		servers:              map[string]*serverState{},
		services:             map[string]*service{},
		departures:           map[Departure]time.Time{},
		limits:               map[serverStart]*limit{},
		reports:              map[string]report{},
		loadChanged:          make(chan struct{}),
		batchCapacityChanged: make(chan struct{}),
	}

	for _, option := range options {
		option(placer)
	}

	return placer
}

// LoadChanged returns a channel that is closed when the load of this entry changes.
func (placer *Placer) LoadChanged() <-chan struct{} {
	placer.mutex.Lock()
	defer placer.mutex.Unlock()

	return placer.loadChanged
}

// BatchCapacityChanged returns a channel that is closed when batch work may find a place.
func (placer *Placer) BatchCapacityChanged() <-chan struct{} {
	placer.mutex.Lock()
	defer placer.mutex.Unlock()

	return placer.batchCapacityChanged
}

// HasServers reports whether any server is listed.
func (placer *Placer) HasServers() bool {
	placer.mutex.Lock()
	defer placer.mutex.Unlock()

	return len(placer.servers) > 0
}

// Place grants a place to online work. If none is free, the work is queued for at most its
// MaxWait. It is refused at once if the expected wait is longer or no server is usable.
func (placer *Placer) Place(ctx context.Context, work Work) Decision {
	placer.mutex.Lock()
	placer.pruneReports()

	service, now := placer.service(work.Service), time.Now()
	if !work.Spare && !pacer.IsRetry(work.Elapsed) {
		service.retryPacer.RecordArrival(now)
	}

	decision := Decision{FreePlaces: placer.freePlaces(work.Service)}
	if grant := placer.findPlace(work); grant != nil {
		if decision.FreePlaces > 0 {
			service.retryPacer.Reset()
		}

		placer.mutex.Unlock()

		decision.Grant = grant

		return decision
	}

	if !placer.newChooser(work).anyCandidate(service.servers) {
		placer.mutex.Unlock()

		decision.Verdict, decision.RetryAfter = NoServer, noServerRetry

		return decision
	}

	decision.QueuedAhead = service.queue.ahead(work.Priority)
	decision.ExpectedWait = placer.expectedWait(service, work, now, decision.QueuedAhead)

	if turn, found := placer.newChooser(work).nextTurn(service.servers, decision.QueuedAhead); found {
		decision.ExpectedWait = min(decision.ExpectedWait, turn)
	}

	if decision.ExpectedWait > work.MaxWait {
		placer.refuse(service, work, &decision)
		placer.mutex.Unlock()

		return decision
	}

	queued := &queuedWork{work: work, arrived: now, granted: make(chan *Grant, 1)}
	service.queue.add(queued)
	placer.wakeQueue(service, now)
	placer.mutex.Unlock()

	return placer.waitForGrant(ctx, queued, decision)
}

// HasCandidate reports whether some server can take the work as soon as it has a free place.
func (placer *Placer) HasCandidate(work Work) bool {
	placer.mutex.Lock()
	defer placer.mutex.Unlock()

	chooser := placer.newChooser(work)

	return slices.ContainsFunc(placer.service(work.Service).servers, chooser.canSend)
}

// waitForGrant waits for the grant of queued work, for at most its MaxWait.
func (placer *Placer) waitForGrant(ctx context.Context, queued *queuedWork, decision Decision) Decision {
	timer := time.NewTimer(queued.work.MaxWait)
	defer timer.Stop()

	select {
	case decision.Grant = <-queued.granted:
	case <-ctx.Done():
		decision.Verdict = CallerGone
	case <-timer.C:
		decision.Verdict = Refused
	}

	decision.Waited = time.Since(queued.arrived)
	if decision.Verdict == Placed {
		return decision
	}

	placer.mutex.Lock()
	defer placer.mutex.Unlock()

	service := placer.service(queued.work.Service)
	if !service.queue.remove(queued) {
		grant := <-queued.granted
		if decision.Verdict == Refused {
			decision.Verdict, decision.Grant = Placed, grant

			return decision
		}

		placer.releasePlace(grant)
		// Others may wait for the place.
		placer.reconcile()

		return decision
	}

	if decision.Verdict == Refused {
		// The expected wait was too short. If the request went to an engine's own queue
		// now, it would be late and delay others.
		placer.refuse(service, queued.work, &decision)
	}

	return decision
}

// refuse marks the decision as refused and sets RetryAfter: up to the pacer's maximum, no
// earlier than a place is free behind the work that is queued now. The mutex is held.
func (placer *Placer) refuse(service *service, work Work, decision *Decision) {
	decision.Verdict = Refused
	if work.Spare {
		return
	}

	now := time.Now()
	decision.RetryAfter = service.retryPacer.NextRetryAfter(now, pacer.ServiceLoad{
		QueueWait: placer.expectedWait(service, work, now, len(service.queue.waiting)),
		Runs:      placer.shareOfRuns(service), RunDuration: service.meanRun, AllowedPerSecond: service.allowedPerSecond(now),
	})
}

// PlaceBatch grants a place to batch work if there is one now.
func (placer *Placer) PlaceBatch(work Work) (*Grant, bool) {
	placer.mutex.Lock()
	defer placer.mutex.Unlock()

	placer.pruneReports()

	service := placer.service(work.Service)
	if len(service.queue.waiting) > 0 || service.ownedServersBusy() {
		return nil, false
	}

	chooser := placer.newChooser(work)

	server := cheapest(service.servers, func(server *serverState) (float64, bool) {
		capacity := batchCapacity(server, placer.reportMissing, chooser.now)

		return -float64(capacity), chooser.canSend(server) && capacity > 0 && (!work.Idle || server.total() == 0)
	})
	if server == nil {
		return nil, false
	}

	grant := placer.newGrant(server, true)
	grant.Due = work.Due

	return grant, true
}

// signalLoadChange closes and replaces loadChanged. The mutex is held.
func (placer *Placer) signalLoadChange() {
	close(placer.loadChanged)
	placer.loadChanged = make(chan struct{})
}

func (placer *Placer) newChooser(work Work) chooser {
	now := time.Now()

	service := placer.service(work.Service)
	placer.refreshGauges(work.Service, service, now)

	return chooser{
		dataCentre:       placer.DataCentre,
		impossible:       work.Continues && !service.continues(work.Software),
		now:              now,
		work:             work,
		medianFirstBytes: service.medianFirstBytesAt(now),
		meanRun:          service.meanRun,
		staleness:        reportStaleness(len(placer.reports)),
	}
}

// freePlaces returns the number of free places on usable servers of the service.
func (placer *Placer) freePlaces(serviceName string) int {
	free, now := 0, time.Now()

	for _, server := range placer.service(serviceName).servers {
		if server.usable(now) {
			free += server.sendable(now)
		}
	}

	return free
}

// shareOfRuns returns how many runs this entry counts on to free places for it: its own
// runs or, if that is more, its equal share of all online runs on the service's servers. An
// entry that has just started runs nothing itself, and gets places as the runs of others end.
// On servers that name a limit, the limit and not the end of a run lets the next request in.
func (placer *Placer) shareOfRuns(service *service) int {
	own, online := len(service.running), 0

	for _, server := range service.servers {
		if server.limited() {
			own -= server.own.Online
		} else {
			online += server.totalOnline()
		}
	}

	return max(own, online/(1+len(placer.reports)))
}
