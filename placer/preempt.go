package placer

import "time"

const (
	// ownedReserve is how many places batch work leaves free on servers of which this
	// entry is the batch owner, for the next online request.
	ownedReserve = 1
	// foreignReserve is how many it leaves free on servers that other entries own, and on
	// all servers while a listed entry doesn't report: callers of that entry may be sent to
	// any server.
	foreignReserve = 3
)

// preemptionPause is how long a server gets no batch work after some was preempted there.
// At a peak, places become free for moments only: a run that is preempted at once produces
// nothing and has used a place in the engine's queue.
const preemptionPause = 400 * time.Millisecond

// maxOnlineShare is the share of places on owned servers up to which online work may occupy
// them while batch work still starts there. Above it, free places will not stay free.
const maxOnlineShare = 0.75

// ownedServersBusy reports whether online work has more than maxOnlineShare of the places on
// owned servers. At such a peak, batch runs would start only to be preempted.
func (service *service) ownedServersBusy() bool {
	online, places := 0, 0

	for _, server := range service.servers {
		if server.owned && !server.Leaving && !server.health.suspect() {
			online += server.totalOnline()
			places += server.places()
		}
	}

	return places > 0 && float64(online) > maxOnlineShare*float64(places)
}

// batchCapacity returns how many batch runs may start on a server: the free places apart
// from the reserve. It is 0 shortly after a preemption there, and for a server whose batch
// owner doesn't report, since this entry can't know what runs there.
func batchCapacity(server *serverState, reportMissing bool, now time.Time) int {
	switch {
	case server.ownerSilent || now.Sub(server.preemptedAt) < preemptionPause:
		return 0
	case server.owned && !reportMissing:
		return server.free() - ownedReserve
	default:
		return server.free() - foreignReserve
	}
}

// dueGranularity is the smallest difference between due times that counts: runs of jobs
// that are due in the same 2 s are equally urgent.
const dueGranularity = 2 * time.Second

// nextPreempted returns the batch run of this entry on a server that is preempted first: the
// one that is due last and, among equals, the one with the least progress, which loses the
// least work. It returns nil if there is none.
func nextPreempted(server *serverState) *Grant {
	var next *Grant

	for grant := range server.grants {
		if next == nil || preemptedBefore(grant, next) {
			next = grant
		}
	}

	return next
}

// preemptedBefore reports whether batch run a is preempted before batch run b.
func preemptedBefore(a, b *Grant) bool {
	if dueA, dueB := a.Due.Truncate(dueGranularity), b.Due.Truncate(dueGranularity); !dueA.Equal(dueB) {
		return dueA.After(dueB)
	}

	return a.Progress() < b.Progress()
}

// ownerOf returns the batch owner of a server: one of the entries in its data centre, or of
// all entries if there are none. The map entries holds their data centres by name.
// Rendezvous hashing makes all entries agree.
func ownerOf(server *serverState, entries map[string]string) string {
	local := false
	for _, dataCentre := range entries {
		local = local || dataCentre == server.DataCentre
	}

	owner, highest := "", uint64(0)

	for entry, dataCentre := range entries {
		if local && dataCentre != server.DataCentre {
			continue
		}

		hash := hashName(0, server.ID+"/"+entry)
		if owner == "" || hash > highest || hash == highest && entry > owner {
			owner, highest = entry, hash
		}
	}

	return owner
}
