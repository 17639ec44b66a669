package placer

import (
	"slices"
	"time"

	"limpetrail/allocator"
)

const (
	// reportInterval is the shortest time between two load reports; see gossiper. Reports of larger
	// fleets are older by the factor reportStaleness.
	reportInterval = 20 * time.Millisecond
	// transitFactor covers the way of a report besides the interval.
	transitFactor = 1.5
	// minRunIntervals is how many intervals a run must last on average for turns: the places of shorter
	// runs are free again before their turn comes, and callers would wait for nothing.
	minRunIntervals = 4
)

// turn returns this entry's claim to the free places of a server. With reports that are fresh
// compared with the runs all entries may use them at once.
func (chooser chooser) turn(server *serverState) allocator.Turn {
	interval := time.Duration(transitFactor * chooser.staleness * float64(reportInterval))
	if chooser.staleness <= 1 || chooser.meanRun < minRunIntervals*interval {
		return allocator.Turn{}
	}

	return allocator.Turn{Rank: server.rank, Interval: interval}
}

// turnDelay returns how long until this entry may use a free place of the server; 0 if it may now.
func (chooser chooser) turnDelay(server *serverState) time.Duration {
	delay := chooser.turn(server).Delay(server.free())
	if delay == 0 {
		return 0
	}

	return max(0, delay-chooser.now.Sub(server.freeSince))
}

// nextTurn returns how long until this entry may use a free place that its turn has not come
// for, behind the work that is ahead. The second result is false if there are not enough such places.
func (chooser chooser) nextTurn(servers []*serverState, ahead int) (time.Duration, bool) {
	delays := []time.Duration{}

	for _, server := range servers {
		if server.free() > 0 && chooser.canSend(server) {
			delays = append(delays, chooser.turnDelay(server))
		}
	}

	if ahead >= len(delays) {
		return 0, false
	}

	slices.Sort(delays)

	return delays[ahead], true
}

// recordFree keeps since when no free place of the server was taken. While some are taken, the
// last ones are left to the entries whose turn it is.
func (server *serverState) recordFree(now time.Time) {
	free := server.free()

	switch {
	case free <= 0:
		server.freeSince = time.Time{}
	case server.freeSince.IsZero() || free < server.recordedFree:
		server.freeSince = now
	}

	server.recordedFree = free
}

// rankOf returns this entry's place in the order of the entries, whose data centres are given by
// name, for the server. The first one is its batch owner.
func (placer *Placer) rankOf(server *serverState, entries map[string]string) int {
	own, rank := placeInOrder(server, placer.Instance, placer.DataCentre), 0

	for entry, dataCentre := range entries {
		if entry != placer.Instance && placeInOrder(server, entry, dataCentre).before(own) {
			rank++
		}
	}

	return rank
}
