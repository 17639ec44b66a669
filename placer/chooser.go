package placer

import (
	"math/rand/v2"
	"slices"
	"time"
)

// The bonuses, penalties and jitter below are in places: a bonus of 1 makes up for one
// more running request.
const (
	// localBonus is for a server in the same data centre: traffic between data centres
	// costs money and adds a round trip.
	localBonus = 1.5
	// ownedBonus is for a server whose batch owner is this entry, while reports are
	// fresh. The owner knows best what runs there.
	ownedBonus = 1.0
	// freshPeers is the number of peers up to which each reports at the maximum rate.
	// With more, reports are older in proportion. See gossiper.
	freshPeers = 8
	// maxStaleness limits the factor on ownedBonus.
	maxStaleness = 4.0
	// foreignJitter, times the staleness above 1, is the maximum random cost of a server
	// that another entry owns. It keeps entries from all choosing the server that was
	// least loaded in the last reports.
	foreignJitter = 0.7
	// prefixBonus is for a cached prompt prefix. It saves the prefill of a few hundred
	// tokens, which takes an engine a few milliseconds.
	prefixBonus = 1.0
	// slowFactor times the median time to the first bytes makes a server slow.
	slowFactor = 2.5
	// medianLifetime is how long the median time to the first bytes is cached; it takes
	// many requests anyway to see that a server has become slow.
	medianLifetime = 100 * time.Millisecond
	// slowPenalty is for a slow server.
	slowPenalty = 4.0
)

// chooser ranks servers for online work. It spreads steps and bursts of callers so that
// no engine queues while another has free places.
type chooser struct {
	dataCentre string
	now        time.Time
	work       Work
	// impossible is set for work that continues a stream of an unknown version.
	impossible bool
	// medianFirstBytes is the median time to the first bytes over the service's servers.
	medianFirstBytes time.Duration
	// meanRun is the mean length of an online run of the service.
	meanRun time.Duration
	// staleness is the age of reports as a multiple of the shortest report interval,
	// from 1 to maxStaleness.
	staleness float64
}

// reportStaleness returns the staleness of reports in a fleet with that many peers: with
// many entries, each one's reports are sent less often.
func reportStaleness(peers int) float64 {
	return min(max(1, float64(peers)/freshPeers), maxStaleness)
}

// chooseFree returns the best server with a free place, or nil. It considers either the
// servers whose batch owner reports or, with ownerSilent, those whose owner does not: how
// many of their places are free is unknown here.
func (chooser chooser) chooseFree(servers []*serverState, ownerSilent bool) *serverState {
	return cheapest(servers, func(server *serverState) (float64, bool) {
		return chooser.cost(server), chooser.canSend(server) && server.ownerSilent == ownerSilent && server.free() > 0 && chooser.turnDelay(server) == 0
	})
}

// choosePreemptible returns the best server on which batch work holds a place that online
// work can take, or nil. Batch work of this entry is preempted at once, that of another
// entry as soon as it gets the report of the new run.
func (chooser chooser) choosePreemptible(servers []*serverState) *serverState {
	own := cheapest(servers, func(server *serverState) (float64, bool) {
		return chooser.cost(server), chooser.canSend(server) && len(server.grants) > 0 && server.totalOnline() < server.places()
	})
	if own != nil {
		return own
	}

	return cheapest(servers, func(server *serverState) (float64, bool) {
		reclaimable := min(server.others.Batch, server.places()-server.totalOnline())

		return chooser.reclaimCost(server), chooser.canSend(server) && reclaimable > 0 && chooser.turn(server).Delay(reclaimable) == 0
	})
}

// reclaimCost ranks servers at which other entries run batch work. With older reports the entries must not all
// choose the server that was least loaded in them.
func (chooser chooser) reclaimCost(server *serverState) float64 {
	if chooser.staleness <= 1 {
		return float64(server.totalOnline())
	}

	return chooser.cost(server)
}

// anyCandidate reports whether some server can take the work, now or later.
func (chooser chooser) anyCandidate(servers []*serverState) bool {
	return slices.ContainsFunc(servers, chooser.isCandidate)
}

func (chooser chooser) isCandidate(server *serverState) bool {
	return server.usable(chooser.now) && !slices.Contains(chooser.work.Exclude, server.ID) && chooser.fits(server)
}

// fits reports whether the server's software can do the work.
func (chooser chooser) fits(server *serverState) bool {
	return !chooser.work.Continues || !chooser.impossible && server.Software == chooser.work.Software
}

// canSend reports whether the server can take the work and its limit allows a request now.
func (chooser chooser) canSend(server *serverState) bool {
	return chooser.isCandidate(server) && server.wait(chooser.now) == 0
}

func (chooser chooser) cost(server *serverState) float64 {
	cost := server.load() + failurePenalty*server.health.failureShare

	if server.DataCentre == chooser.dataCentre {
		cost -= localBonus
	}

	if server.owned {
		cost -= ownedBonus * chooser.staleness
	} else {
		cost += foreignJitter * (chooser.staleness - 1) * rand.Float64()
	}

	if chooser.isSlow(server) {
		cost += slowPenalty
	}

	if chooser.work.Prefix != 0 {
		cost -= prefixBonus * chooser.prefixAffinity(server)
	}

	return cost
}

func (chooser chooser) isSlow(server *serverState) bool {
	return chooser.medianFirstBytes > 0 && server.health.firstBytes > time.Duration(slowFactor*float64(chooser.medianFirstBytes))
}

// prefixAffinity is a rendezvous hash from 0 to 1: entries prefer the same server for a
// prefix without communicating.
func (chooser chooser) prefixAffinity(server *serverState) float64 {
	const bits = 20

	return float64(hashName(chooser.work.Prefix, server.ID)>>(64-bits)) / (1 << bits)
}

// hashName hashes a number and a name. The result is the same in all processes.
func hashName(number uint64, name string) uint64 {
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

// cheapest returns the eligible server of the lowest cost, or nil. The function cost
// returns the cost and whether the server is eligible.
func cheapest(servers []*serverState, cost func(*serverState) (float64, bool)) *serverState {
	var (
		best    *serverState
		minimum float64
	)

	for _, server := range servers {
		value, eligible := cost(server)
		if eligible && (best == nil || value < minimum) {
			best, minimum = server, value
		}
	}

	return best
}

// medianFirstBytesAt returns the median time to the first bytes over the service's
// servers, cached for medianLifetime: with a thousand servers, computing it takes as long
// as a placement.
func (service *service) medianFirstBytesAt(now time.Time) time.Duration {
	if now.Sub(service.medianAt) >= medianLifetime {
		service.medianFirstBytes, service.medianAt = medianFirstBytes(service.servers), now
	}

	return service.medianFirstBytes
}

// medianFirstBytes returns the median time to the first bytes over the servers, or 0.
func medianFirstBytes(servers []*serverState) time.Duration {
	times := []time.Duration{}

	for _, server := range servers {
		if server.health.firstBytes > 0 {
			times = append(times, server.health.firstBytes)
		}
	}

	if len(times) == 0 {
		return 0
	}

	slices.Sort(times)

	return times[len(times)/2]
}
