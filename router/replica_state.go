package router

import (
	"sync/atomic"
	"time"
)

// replicaState is what the router knows about one replica. All routing tables
// share it, so a change of the replica list loses nothing.
type replicaState struct {
	replica Replica

	// inflight counts this entry's running attempts at the replica.
	inflight atomic.Int64
	// lastReport is the latest report from the replica's sidecar; nil before the
	// first.
	lastReport atomic.Pointer[loadReport]
	health     health
}

// loadReport is a load that a sidecar reported, with what score needs to
// discount it by age.
type loadReport struct {
	load       Load
	receivedAt time.Time
	// otherLoad is the part of the load that this entry did not cause.
	otherLoad float64
}

const (
	// reportHalfLife is the age at which a report's weight is one half.
	reportHalfLife = time.Second
	// defaultLimit is the assumed limit of a replica before its first report.
	defaultLimit = 16
	// batchWeight is the load of a batch item relative to an online request.
	// It is low because batch items are preempted at once.
	batchWeight = 0.1
	// drainingReportTTL is how long a sidecar counts as draining after it reported
	// so. If it is still draining then, it refuses the next request, which moves
	// to another replica, and the refusal reports draining again.
	drainingReportTTL = 10 * time.Second
)

func newReplicaState(replica Replica) *replicaState {
	return &replicaState{replica: replica}
}

// applyLoad replaces the last report.
func (state *replicaState) applyLoad(load Load, now time.Time) {
	online := float64(load.RunningOnline + load.QueuedOnline)
	own := float64(state.inflight.Load())
	state.lastReport.Store(&loadReport{
		load:       load,
		receivedAt: now,
		otherLoad:  max(0, online-own) + batchWeight*float64(load.RunningBatch),
	})
}

// score estimates the load as a share of the replica's limit. This entry's own
// attempts count in full; other load is only known from the last report,
// whose weight falls with its age.
func (state *replicaState) score(now time.Time) float64 {
	own := float64(state.inflight.Load())

	last := state.lastReport.Load()
	if last == nil {
		return own / defaultLimit
	}

	age := max(0, now.Sub(last.receivedAt))
	weight := float64(reportHalfLife) / float64(reportHalfLife+age)

	return (own + weight*last.otherLoad) / float64(max(1, last.load.Limit))
}

// attemptEnded decrements the count of running attempts. An attempt at an
// earlier process of the same name may end after its successor was listed, so
// the count never goes below zero.
func (state *replicaState) attemptEnded() {
	for {
		count := state.inflight.Load()
		if count <= 0 || state.inflight.CompareAndSwap(count, count-1) {
			return
		}
	}
}

// isDraining reports whether the sidecar recently reported that it accepts no
// new work. The report expires because a sidecar restarted under the same name
// and address is only noticed by sending it a request.
func (state *replicaState) isDraining(now time.Time) bool {
	last := state.lastReport.Load()

	return last != nil && last.load.Draining && now.Sub(last.receivedAt) < drainingReportTTL
}
