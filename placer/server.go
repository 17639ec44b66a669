package placer

import (
	"time"

	"limpetrail/gauger"
)

// Server is a backend server as the platform lists it.
type Server struct {
	ID string
	// Incarnation differs for each start of the server.
	Incarnation int64
	// Software is the version of the server's software; empty if it is not known. What two
	// versions write does not fit together.
	Software   string
	Address    string
	DataCentre string
	Service    string
	// Places is how many requests it runs at once.
	Places int
	// Leaving servers take no new work.
	Leaving bool
}

// Load counts the requests that one entry runs on a server.
type Load struct {
	Online int `json:",omitempty"`
	Batch  int `json:",omitempty"`
}

// Total returns the number of all running requests.
func (load Load) Total() int {
	return load.Online + load.Batch
}

// serverState is a server with its load and health.
type serverState struct {
	Server
	// own is the load of this entry on the server.
	own Load
	// others is always the sum of the loads in the reports that are kept.
	others Load
	// owned is set if this entry is the server's batch owner, which leaves only
	// ownedReserve of its places free of batch work; other entries leave foreignReserve.
	// ownerSilent is set while the owner is another entry without a fresh report.
	owned       bool
	ownerSilent bool
	// rank is this entry's place in the order in which entries may use the server's free places.
	rank int
	// freeSince is since when none of its free places has been taken; zero if it has none.
	freeSince time.Time
	// recordedFree is the number of free places when freeSince was last updated.
	recordedFree int
	// grants are the batch runs of this entry, which can be preempted.
	grants map[*Grant]bool
	// preemptedAt is when this entry last preempted batch work on the server.
	preemptedAt time.Time
	health      health
	// limit is what the server said of the requests that it takes; nil if it never named a
	// limit.
	limit *limit
	// gauge is what was learned of this start of the server; nil if nothing is learned.
	gauge *gauger.Gauge
}

func (server *serverState) totalOnline() int {
	return server.own.Online + server.others.Online
}

func (server *serverState) total() int {
	return server.own.Total() + server.others.Total()
}

// free is negative if the server runs more than its places, listed or learned.
func (server *serverState) free() int {
	return server.places() - server.total()
}

// wait returns how long it takes until the server's limit lets this entry send a request; 0
// if one may be sent now.
func (server *serverState) wait(now time.Time) time.Duration {
	if server.limit == nil {
		return 0
	}

	return server.limit.Wait(now)
}

// limited reports whether the server names a limit.
func (server *serverState) limited() bool {
	return server.limit != nil && server.limit.Statement().Limited
}

// sendable returns how many of the free places may get a request now.
func (server *serverState) sendable(now time.Time) int {
	free := max(0, server.free())
	if server.limited() {
		return min(free, server.limit.Available(now))
	}

	return free
}

// take records a request that is sent to the server now.
func (server *serverState) take(now time.Time) {
	if server.limit != nil {
		server.limit.Take(now)
	}
}

// usable reports whether the server can get new work.
func (server *serverState) usable(now time.Time) bool {
	return !server.Leaving && !server.health.suspect() && !now.Before(server.health.fullUntil)
}
