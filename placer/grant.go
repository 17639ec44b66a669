package placer

import (
	"sync/atomic"
	"time"

	"limpetrail/gauger"
	"limpetrail/throttler"
)

// Grant is the right to a place on a server until it is released.
type Grant struct {
	Server Server
	// Batch grants can be preempted.
	Batch bool
	// Alone is true if nothing else was known to run at the server when the grant was given.
	Alone bool
	// Due is when the result of batch work is due.
	Due time.Time
	// Preempted is closed when batch work is preempted and has to stop.
	Preempted chan struct{}

	placer    *Placer
	grantedAt time.Time
	progress  atomic.Int64
	// reclaimed is set when preemption has already counted the place as free.
	reclaimed bool
	released  atomic.Bool
	// run measures online work, guarded by the placer's mutex; nil if nothing is learned.
	run *gauger.Run
}

// SetProgress records how much of a batch run is done, in any increasing unit.
func (grant *Grant) SetProgress(done int) {
	grant.progress.Store(int64(done))
}

// Progress returns how much of a batch run is done.
func (grant *Grant) Progress() int64 {
	return grant.progress.Load()
}

// Observe records how the server behaved, and with Answered the time to the first bytes.
func (grant *Grant) Observe(observation Observation, firstBytes time.Duration) {
	grant.placer.observe(grant.Server, observation, firstBytes)

	if observation == Complete {
		grant.completeMeasuring()
	}
}

// RecordDeparture records that the server announced in its answer to a request that it is leaving.
func (grant *Grant) RecordDeparture(requestID string) {
	grant.placer.MarkLeaving(grant.Server, "answer to "+requestID)
}

// RecordStatement records what the server said in its answer to a request of the requests that
// it takes.
func (grant *Grant) RecordStatement(statement throttler.Statement, requestID string) {
	grant.placer.RecordStatement(grant.Server, statement, requestID)
}

// Withdrawn reports whether the server must get no new work. Requests that have started
// there continue.
func (grant *Grant) Withdrawn() bool {
	return grant.placer.withdrawn(grant.Server)
}

// Release frees the place. Further calls do nothing.
func (grant *Grant) Release() {
	if grant.released.CompareAndSwap(false, true) {
		grant.placer.release(grant)
	}
}
