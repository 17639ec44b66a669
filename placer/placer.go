package placer

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"limpetrail/appointer"
	"limpetrail/kernel"
)

// reportLife is how long another entry's report counts: two of the longest
// intervals between two reports, and a little. An entry that is gone runs nothing.
const reportLife = time.Second

// Placer gives out the places of backend servers.
type Placer struct {
	kernel.Common

	mutex sync.Mutex
	// servers by ID.
	servers  map[string]*state
	services map[string]*service
	// departures holds the incarnations that said that they leave, and when each
	// was last listed.
	departures map[Departure]time.Time
	// reports holds the fresh reports of other entries by name.
	reports map[string]report
	// listed holds the data centres of the other entries that the platform lists,
	// by name; blind tells that some of them are not heard.
	listed map[string]string
	blind  bool
	// changed is closed and replaced when the load here changes.
	changed chan struct{}
	// room is closed and replaced when batch work may find a place.
	room chan struct{}
}

// report is what another entry runs, by server ID.
type report struct {
	dataCentre string
	loads      map[string]Load
	at         time.Time
}

// NewPlacer returns a placer that knows no servers.
func NewPlacer(common kernel.Common) *Placer {
	return &Placer{
		Common:     common.ForPart("placer"),
		servers:    map[string]*state{},
		services:   map[string]*service{},
		departures: map[Departure]time.Time{},
		reports:    map[string]report{},
		changed:    make(chan struct{}),
		room:       make(chan struct{}),
	}
}

// Update replaces the list of servers. What is known of servers that stay is
// kept; one with another incarnation is new.
func (placer *Placer) Update(servers []Server) {
	placer.mutex.Lock()
	defer placer.mutex.Unlock()

	before, entries := placer.servers, placer.entries()
	placer.servers = map[string]*state{}

	for _, service := range placer.services {
		service.servers = nil
	}

	for _, server := range servers {
		server.Leaving = server.Leaving || placer.departed(server)

		known := before[server.ID]
		if known == nil || known.Incarnation != server.Incarnation {
			known = &state{grants: map[*Grant]bool{}, others: placer.heardOf(server.ID)}
			placer.Log.WithFields(logrus.Fields{"BackendServer": server.ID, "Address": server.Address, "Service": server.Service}).Info("Backend server is listed.")
		} else if server.Leaving && !known.Leaving {
			placer.Log.WithField("BackendServer", server.ID).Info("Backend server is leaving.")
		}

		moved := known.DataCentre != server.DataCentre || known.ID != server.ID
		known.Server = server

		// Among the same entries a server keeps its home.
		if moved {
			placer.settleHome(known, entries)
		}

		placer.servers[server.ID] = known
		placer.service(server.Service).servers = append(placer.service(server.Service).servers, known)
	}

	placer.forgetDepartures(time.Now())

	for id := range before {
		if placer.servers[id] == nil {
			placer.Log.WithField("BackendServer", id).Info("Backend server is gone from the list.")
		}
	}

	placer.settle()
}

// SetListed replaces the other entries that the platform lists, with their data
// centres.
func (placer *Placer) SetListed(entries map[string]string) {
	placer.mutex.Lock()
	defer placer.mutex.Unlock()

	placer.listed = entries
	placer.settleHomes()
	placer.settle()
}

// Hear takes in what another entry runs. Entries that are heard share the
// servers, whatever the platform's store says of them.
func (placer *Placer) Hear(peer, dataCentre string, loads map[string]Load) {
	placer.mutex.Lock()
	defer placer.mutex.Unlock()

	before, known := placer.reports[peer]
	heard := report{dataCentre: dataCentre, loads: loads, at: time.Now()}

	placer.discharge(before)
	placer.charge(heard)
	placer.reports[peer] = heard

	if !known {
		placer.Log.WithFields(logrus.Fields{"Peer": peer, "DataCentre": dataCentre}).Info("Another entry is heard.")
		placer.settleHomes()
	}

	placer.settle()
}

// Heard returns how many other entries are heard.
func (placer *Placer) Heard() int {
	placer.mutex.Lock()
	defer placer.mutex.Unlock()

	placer.prune()

	return len(placer.reports)
}

// Own returns what this entry runs, by server ID.
func (placer *Placer) Own() map[string]Load {
	placer.mutex.Lock()
	defer placer.mutex.Unlock()

	loads := map[string]Load{}

	for id, server := range placer.servers {
		if server.own.Total() > 0 {
			loads[id] = server.own
		}
	}

	return loads
}

// Changed returns a channel that is closed when Own changes.
func (placer *Placer) Changed() <-chan struct{} {
	placer.mutex.Lock()
	defer placer.mutex.Unlock()

	return placer.changed
}

// Room returns a channel that is closed when batch work may find a place.
func (placer *Placer) Room() <-chan struct{} {
	placer.mutex.Lock()
	defer placer.mutex.Unlock()

	return placer.room
}

// Knows tells whether any server is listed.
func (placer *Placer) Knows() bool {
	placer.mutex.Lock()
	defer placer.mutex.Unlock()

	return len(placer.servers) > 0
}

// Place finds a place for online work, or says at once why there is none.
func (placer *Placer) Place(ctx context.Context, work Work) Decision {
	placer.mutex.Lock()
	placer.prune()

	service, now := placer.service(work.Service), time.Now()
	if !appointer.Returned(work.Spent) {
		service.book.Arrive(now)
	}

	decision := Decision{Free: placer.freePlaces(work.Service)}
	if grant := placer.find(work); grant != nil {
		if decision.Free > 0 {
			service.book.Relax()
		}

		placer.mutex.Unlock()

		decision.Grant = grant

		return decision
	}

	if !placer.chooser(work).any(service.servers) {
		placer.mutex.Unlock()

		decision.Verdict, decision.RetryAfter = Absent, absentRetry

		return decision
	}

	decision.Queued = service.queue.ahead(work.Priority)
	decision.Forecast = service.forecast(now, decision.Queued, placer.share(service))

	if decision.Forecast > work.Patience {
		placer.refuse(service, &decision)
		placer.mutex.Unlock()

		return decision
	}

	entry := &waiting{work: work, arrived: now, granted: make(chan *Grant, 1)}
	service.queue.add(entry)
	placer.mutex.Unlock()

	return placer.wait(ctx, entry, decision)
}

// Elsewhere tells whether some server may take the work, now or later.
func (placer *Placer) Elsewhere(work Work) bool {
	placer.mutex.Lock()
	defer placer.mutex.Unlock()

	return placer.chooser(work).any(placer.service(work.Service).servers)
}

// wait waits for the grant of queued work, at most its patience.
func (placer *Placer) wait(ctx context.Context, entry *waiting, decision Decision) Decision {
	patience := time.NewTimer(entry.work.Patience)
	defer patience.Stop()

	select {
	case decision.Grant = <-entry.granted:
	case <-ctx.Done():
		decision.Verdict = Left
	case <-patience.C:
		decision.Verdict = Refused
	}

	decision.Waited = time.Since(entry.arrived)
	if decision.Verdict == Placed {
		return decision
	}

	placer.mutex.Lock()
	defer placer.mutex.Unlock()

	service := placer.service(entry.work.Service)
	if !service.queue.remove(entry) {
		grant := <-entry.granted
		if decision.Verdict == Refused {
			decision.Verdict, decision.Grant = Placed, grant

			return decision
		}

		placer.drop(grant)

		return decision
	}

	if decision.Verdict == Refused {
		// The forecast failed. Sent to an engine's own queue now, the request
		// would be late and make others late.
		placer.refuse(service, &decision)
	}

	return decision
}

// refuse tells when the work may come back: not before what waits now. The mutex is
// held.
func (placer *Placer) refuse(service *service, decision *Decision) {
	now, share := time.Now(), placer.share(service)
	wait := service.forecast(now, len(service.queue.waiting), share)

	decision.Verdict = Refused
	decision.RetryAfter = service.book.Offer(now, appointer.Load{Wait: wait, Running: share, Stay: service.stay})
}

// PlaceBatch finds a place for batch work, if there is one now.
func (placer *Placer) PlaceBatch(work Work) (*Grant, bool) {
	placer.mutex.Lock()
	defer placer.mutex.Unlock()

	placer.prune()

	service := placer.service(work.Service)
	if len(service.queue.waiting) > 0 || service.crowdedHomes() {
		return nil, false
	}

	chooser := placer.chooser(work)

	server := best(service.servers, func(server *state) (float64, bool) {
		room := batchRoom(server, placer.blind, chooser.now)

		return -float64(room), chooser.candidate(server) && room > 0
	})
	if server == nil {
		return nil, false
	}

	grant := placer.grant(server, true)
	grant.Due = work.Due

	return grant, true
}

func (placer *Placer) announce() {
	close(placer.changed)
	placer.changed = make(chan struct{})
}

func (placer *Placer) chooser(work Work) chooser {
	now := time.Now()

	return chooser{
		dataCentre: placer.DataCentre,
		now:        now,
		work:       work,
		usual:      placer.service(work.Service).usualFirst(now),
		doubt:      doubtAmong(len(placer.reports)),
	}
}

func (placer *Placer) freePlaces(name string) int {
	free, now := 0, time.Now()

	for _, server := range placer.service(name).servers {
		if server.usable(now) {
			free += max(0, server.free())
		}
	}

	return free
}

// share returns how many runs end for this entry: its own, or its part of all
// that run at the service's servers. An entry that has just begun runs nothing,
// and gets places from the ends of what others run.
func (placer *Placer) share(service *service) int {
	online := 0
	for _, server := range service.servers {
		online += server.online()
	}

	return max(len(service.running), online/(1+len(placer.reports)))
}
