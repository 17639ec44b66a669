package placer

import (
	"time"

	"limpetrail/throttler"
)

// shareLimit sets the share that this entry has of the server's limit among the entries,
// whose data centres are given by name.
func (placer *Placer) shareLimit(server *serverState, entries map[string]string) {
	if server.limit == nil {
		return
	}

	server.limit.SetShare(throttler.Share{Entries: len(entries), Rank: server.rank}, time.Now())
}

// orderPlace is an entry's place in the order of the entries that share a server. Those in the
// server's data centre come first, as they reach it best.
type orderPlace struct {
	local bool
	hash  uint64
	name  string
}

func placeInOrder(server *serverState, entry, dataCentre string) orderPlace {
	return orderPlace{local: dataCentre == server.DataCentre, hash: hashName(0, server.ID+"/"+entry), name: entry}
}

func (place orderPlace) before(other orderPlace) bool {
	switch {
	case place.local != other.local:
		return place.local
	case place.hash != other.hash:
		return place.hash > other.hash
	default:
		return place.name < other.name
	}
}

// expectedWait returns how long new work waits behind the work ahead, until a run ends on a
// server without a limit or a limit allows a request where a place is free.
func (placer *Placer) expectedWait(service *service, work Work, now time.Time, ahead int) time.Duration {
	chooser := placer.newChooser(work)
	byRuns := service.estimateWait(now, ahead, placer.shareOfRuns(service))
	unlimited, first, perSecond := false, time.Duration(-1), 0.0

	for _, server := range service.servers {
		switch {
		case !chooser.isCandidate(server):
		case !server.limited():
			unlimited = true
		case server.free() > 0:
			if wait := server.wait(now); first < 0 || wait < first {
				first = wait
			}

			perSecond += server.limit.PerSecond()
		}
	}

	if first < 0 {
		return byRuns
	}

	byLimits := first
	if perSecond > 0 {
		byLimits += time.Duration(float64(ahead) / perSecond * float64(time.Second))
	}

	if unlimited {
		return min(byRuns, byLimits)
	}

	return byLimits
}

// allowedPerSecond returns how many requests a second this entry may send to the service's
// servers that name a limit.
func (service *service) allowedPerSecond(now time.Time) float64 {
	allowed := 0.0

	for _, server := range service.servers {
		if server.limited() && server.usable(now) {
			allowed += server.limit.PerSecond()
		}
	}

	return allowed
}

// wakeQueue serves the queue again when the next limit allows a request on a free place. The
// mutex is held.
func (placer *Placer) wakeQueue(service *service, now time.Time) {
	if len(service.queue.waiting) == 0 || service.wakeAt.After(now) {
		return
	}

	next := time.Duration(0)

	for _, server := range service.servers {
		if wait := server.wait(now); wait > 0 && server.usable(now) && server.free() > 0 && (next == 0 || wait < next) {
			next = wait
		}
	}

	if next == 0 {
		return
	}

	service.wakeAt = now.Add(next)

	time.AfterFunc(next, func() {
		placer.mutex.Lock()
		defer placer.mutex.Unlock()

		placer.reconcile()
	})
}
