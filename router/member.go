package router

import (
	"sync/atomic"
	"time"
)

// member is what the router knows about one replica. It is shared by all
// snapshots of the membership, so that a change of the list loses nothing.
type member struct {
	replica Replica

	// inflight counts this entry's attempts at the replica now.
	inflight atomic.Int64
	// reported is the newest report; nil before the first.
	reported atomic.Pointer[report]
	health   health
}

// report is a sidecar's word with what is needed to bring it up to date.
type report struct {
	load Load
	at   time.Time
	// others is the reported load that is not this entry's own.
	others float64
}

const (
	// reportHalfLife is the age at which a report counts half.
	reportHalfLife = time.Second
	// defaultLimit stands in for the limit of a replica with no report.
	defaultLimit = 16
	// batchWeight is the load of a batch item, which gives way at once, next
	// to an online request.
	batchWeight = 0.1
	// drainingWord is how long a sidecar's word counts that it takes no new
	// work. One that still drains refuses the next request, which then moves,
	// and says so again.
	drainingWord = 10 * time.Second
)

func newMember(replica Replica) *member {
	return &member{replica: replica}
}

// take replaces the newest report.
func (member *member) take(load Load, now time.Time) {
	online := float64(load.RunningOnline + load.QueuedOnline)
	own := float64(member.inflight.Load())
	member.reported.Store(&report{
		load:   load,
		at:     now,
		others: max(0, online-own) + batchWeight*float64(load.RunningBatch),
	})
}

// score is the estimated load as a share of the replica's limit. This entry's
// own attempts count in full; what others do is known from a report that
// counts less as it ages.
func (member *member) score(now time.Time) float64 {
	own := float64(member.inflight.Load())

	last := member.reported.Load()
	if last == nil {
		return own / defaultLimit
	}

	age := max(0, now.Sub(last.at))
	weight := float64(reportHalfLife) / float64(reportHalfLife+age)

	return (own + weight*last.others) / float64(max(1, last.load.Limit))
}

// leave ends one of this entry's attempts. An attempt at an earlier process of
// the same name may end after its successor was listed, so the count stops
// at zero.
func (member *member) leave() {
	for {
		count := member.inflight.Load()
		if count <= 0 || member.inflight.CompareAndSwap(count, count-1) {
			return
		}
	}
}

// draining tells whether the sidecar said lately that it takes no new work. A
// sidecar that was started again in its place is heard of in no other way than
// by sending to it.
func (member *member) draining(now time.Time) bool {
	last := member.reported.Load()

	return last != nil && last.load.Draining && now.Sub(last.at) < drainingWord
}
