package placer

import "time"

const (
	// homeReserve is left free by batch work at a server that this entry may
	// fill, for the next online request.
	homeReserve = 1
	// strangerReserve is left free at servers that others fill.
	strangerReserve = 3
)

// batchRoom tells whether batch work may start at a server: in the troughs
// between the peaks of callers, up to the reserve.
func batchRoom(server *state) int {
	if server.home {
		return server.free() - homeReserve
	}

	return server.free() - strangerReserve
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

// homes marks the servers that this entry fills with batch work: each server
// has one among the entries of its data centre, or of all where it has none.
func homes(servers []*state, entry, dataCentre string, peers map[string]string) {
	for _, server := range servers {
		server.home = home(server, entry, dataCentre, peers)
	}
}

func home(server *state, entry, dataCentre string, peers map[string]string) bool {
	near := dataCentre == server.DataCentre
	for _, place := range peers {
		near = near || place == server.DataCentre
	}

	if near && dataCentre != server.DataCentre {
		return false
	}

	mine := mix(0, server.ID+"/"+entry)

	for peer, place := range peers {
		if near && place != server.DataCentre {
			continue
		}

		if other := mix(0, server.ID+"/"+peer); other > mine || other == mine && peer > entry {
			return false
		}
	}

	return true
}
