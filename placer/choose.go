package placer

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// localGain is how many places of load a server in the same data centre is
	// worth: bytes between data centres cost, and add a round trip.
	localGain = 1.5
	// homeGain is how many places of load a home is worth where reports are fresh.
	// Each server is the home of one entry, which knows what runs there.
	homeGain = 1.0
	// freshEntries report to each other as often as reports are sent at most; among
	// more, reports are older in proportion. See gossiper.
	freshEntries = 8
	// mostDoubt bounds how many times homeGain a home is worth.
	mostDoubt = 4.0
	// strangerSpread for each homeGain is the most that is added by chance to the
	// load of a server that is no home, so that entries do not all choose the one
	// that was the least loaded in the last reports.
	strangerSpread = 0.7
	// prefixGain is how many places of load a cached prompt prefix is worth. It
	// saves reading a few hundred tokens, which takes an engine few milliseconds.
	prefixGain = 1.0
	// slowFactor times the usual time to the first bytes makes a server slow.
	slowFactor = 2.5
	// usualLife is how long the usual time to the first bytes counts before it is
	// found again; a server that turns slow shows over many requests.
	usualLife = 100 * time.Millisecond
	// slowLoss is how many places of load a slow server is charged.
	slowLoss = 4.0
)

// chooser ranks servers for online work: the load of the steps and bursts of
// callers, spread so that no engine queues while another has room.
type chooser struct {
	dataCentre string
	now        time.Time
	work       Work
	// usual is the median time to the first bytes over the service's servers.
	usual time.Duration
	// doubt is how old reports are, in the shortest time between two; 1 to mostDoubt.
	doubt float64
}

// doubtAmong returns the doubt in a fleet of so many other entries: the load of
// steps of callers at many entries, each of which hears of the others seldom.
func doubtAmong(others int) float64 {
	return min(max(1, float64(others)/freshEntries), mostDoubt)
}

// choose returns the best server with a free place, or nil. Of servers that an
// entry fills which is not heard, nobody here knows whether there is one.
func (chooser chooser) choose(servers []*state, unheard bool) *state {
	return best(servers, func(server *state) (float64, bool) {
		return chooser.cost(server), chooser.candidate(server) && server.unheard == unheard && server.free() > 0
	})
}

// chooseYielding returns the best server whose place is taken by batch work of
// this entry, which yields at once, or of another entry, which yields when it
// hears of the arrival.
func (chooser chooser) chooseYielding(servers []*state) *state {
	own := best(servers, func(server *state) (float64, bool) {
		return chooser.cost(server), chooser.candidate(server) && len(server.grants) > 0 && server.online() < server.Places
	})
	if own != nil {
		return own
	}

	return best(servers, func(server *state) (float64, bool) {
		return float64(server.online()), chooser.candidate(server) && server.others.Batch > 0 && server.online() < server.Places
	})
}

// any tells whether some server may take the work, now or later.
func (chooser chooser) any(servers []*state) bool {
	return slices.ContainsFunc(servers, chooser.candidate)
}

func (chooser chooser) candidate(server *state) bool {
	return server.usable(chooser.now) && !slices.Contains(chooser.work.Exclude, server.ID)
}

func (chooser chooser) cost(server *state) float64 {
	cost := float64(server.total()) + failLoss*server.health.failing

	if server.DataCentre == chooser.dataCentre {
		cost -= localGain
	}

	if server.home {
		cost -= homeGain * chooser.doubt
	} else {
		cost += strangerSpread * (chooser.doubt - 1) * rand.Float64()
	}

	if chooser.slow(server) {
		cost += slowLoss
	}

	if chooser.work.Prefix != 0 {
		cost -= prefixGain * chooser.closeness(server)
	}

	return cost
}

func (chooser chooser) slow(server *state) bool {
	return chooser.usual > 0 && server.health.first > time.Duration(slowFactor*float64(chooser.usual))
}

// closeness is a rendezvous hash, 0 to 1: entries that do not talk to each
// other prefer the same server for a prefix.
func (chooser chooser) closeness(server *state) float64 {
	const bits = 20

	return float64(mix(chooser.work.Prefix, server.ID)>>(64-bits)) / (1 << bits)
}

// mix hashes a number and a name; equal in all processes.
func mix(number uint64, name string) uint64 {
	const (
		offset = 14695981039346656037
		prime  = 1099511628211
	)

	hash := number ^ offset
	for index := range len(name) {
		hash = (hash ^ uint64(name[index])) * prime
	}

	// The final steps of MurmurHash3 spread the last bytes over all bits.
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33

	return hash
}

// best returns the server of the least cost among those that fit, or nil.
func best(servers []*state, cost func(*state) (float64, bool)) *state {
	var (
		found *state
		least float64
	)

	for _, server := range servers {
		value, fits := cost(server)
		if fits && (found == nil || value < least) {
			found, least = server, value
		}
	}

	return found
}

// usualFirst returns the median time to the first bytes over the service's
// servers, as of a moment ago: with a thousand of them it takes as long as a
// placement.
func (service *service) usualFirst(now time.Time) time.Duration {
	if now.Sub(service.usualAt) >= usualLife {
		service.usual, service.usualAt = usual(service.servers), now
	}

	return service.usual
}

// usual returns the median time to the first bytes over the servers.
func usual(servers []*state) time.Duration {
	times := []time.Duration{}

	for _, server := range servers {
		if server.health.first > 0 {
			times = append(times, server.health.first)
		}
	}

	if len(times) == 0 {
		return 0
	}

	slices.Sort(times)

	return times[len(times)/2]
}
