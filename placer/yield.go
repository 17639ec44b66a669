package placer

import "time"

const (
	// homeReserve is left free by batch work at a server that this entry may
	// fill, for the next online request.
	homeReserve = 1
	// strangerReserve is left free at servers that others fill, and at all while
	// an entry is not heard: its callers may come to any server.
	strangerReserve = 3
)

// yieldPause is how long a server gets no batch work after some had to yield there.
// In a peak places become free for moments only, and a run that yields again at once
// has made nothing and held a place of the engine's queue.
const yieldPause = 400 * time.Millisecond

// mostOnline is the part of the places at an entry's homes that online work may have
// while batch work still starts there. Above it, what is free will not stay so.
const mostOnline = 0.75

// crowdedHomes tells whether online work has most of the places at the homes of this
// entry: the peak of callers, in which batch runs would begin only to yield.
func (service *service) crowdedHomes() bool {
	online, places := 0, 0

	for _, server := range service.servers {
		if server.home && !server.Leaving && !server.health.suspect() {
			online += server.online()
			places += server.Places
		}
	}

	return places > 0 && float64(online) > mostOnline*float64(places)
}

// batchRoom tells whether batch work may start at a server: in the troughs
// between the peaks of callers, up to the reserve. A server that an entry fills
// which is not heard has no room, since nobody here knows what runs there.
func batchRoom(server *state, blind bool, now time.Time) int {
	switch {
	case server.unheard || now.Sub(server.yielded) < yieldPause:
		return 0
	case server.home && !blind:
		return server.free() - homeReserve
	default:
		return server.free() - strangerReserve
	}
}

// dueStep is how far due times have to differ to count: the runs of a job that
// is due within it of another's are as urgent.
const dueStep = 2 * time.Second

// yielding returns the batch run of this entry at a server that gives its place
// back first: the one that is due last, and among equals the one that has most
// left to do, which loses the least for the time of its place.
func yielding(server *state) *Grant {
	var found *Grant

	for grant := range server.grants {
		if found == nil || yieldsBefore(grant, found) {
			found = grant
		}
	}

	return found
}

func yieldsBefore(a, b *Grant) bool {
	if dueA, dueB := a.Due.Truncate(dueStep), b.Due.Truncate(dueStep); !dueA.Equal(dueB) {
		return dueA.After(dueB)
	}

	return a.Progress() < b.Progress()
}

// homeOf returns the entry that fills a server with batch work: each server has
// one among the entries of its data centre, or of all where it has none. Entries
// are given with their data centres.
func homeOf(server *state, entries map[string]string) string {
	near := false
	for _, dataCentre := range entries {
		near = near || dataCentre == server.DataCentre
	}

	found, most := "", uint64(0)

	for entry, dataCentre := range entries {
		if near && dataCentre != server.DataCentre {
			continue
		}

		hash := mix(0, server.ID+"/"+entry)
		if found == "" || hash > most || hash == most && entry > found {
			found, most = entry, hash
		}
	}

	return found
}
