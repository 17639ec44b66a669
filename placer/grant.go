package placer

import (
	"sync/atomic"
	"time"
)

// Grant is a place at a server, held until it is released.
type Grant struct {
	Server Server
	// Batch grants can be asked to yield.
	Batch bool
	// Due is when batch work is wanted.
	Due time.Time
	// Yield is closed when batch work has to give its place back.
	Yield chan struct{}

	placer   *Placer
	since    time.Time
	progress atomic.Int64
	yielded  bool
	released atomic.Bool
}

// SetProgress says how much of a batch run is done, in any unit that rises.
func (grant *Grant) SetProgress(done int) {
	grant.progress.Store(int64(done))
}

// Progress is how much of a batch run is done.
func (grant *Grant) Progress() int64 {
	return grant.progress.Load()
}

// Observe tells how the server behaved. First is the time to the first bytes.
func (grant *Grant) Observe(observation Observation, first time.Duration) {
	grant.placer.observe(grant.Server, observation, first)
}

// Leaves tells that the server said so in its answer to a request.
func (grant *Grant) Leaves(requestID string) {
	grant.placer.Leave(grant.Server, "answer to "+requestID)
}

// Withdrawn tells whether the server is no longer to be used. What has begun to
// run there goes on.
func (grant *Grant) Withdrawn() bool {
	return grant.placer.withdrawn(grant.Server)
}

// Release gives the place back. Further calls do nothing.
func (grant *Grant) Release() {
	if grant.released.CompareAndSwap(false, true) {
		grant.placer.release(grant)
	}
}
