package follower

import (
	"context"
	"sync/atomic"
	"time"

	"limpetrail/keeper"
	"limpetrail/kernel"
)

const (
	// longWatchWait is how long a long watch waits; the platform allows 30 s.
	longWatchWait = 20 * time.Second
	// longWatchCheckInterval is how often superviseLongWatch checks a long watch.
	longWatchCheckInterval = 250 * time.Millisecond
)

// watchProgress holds the revisions that followers in different processes compare. They
// let watches of rarely changed prefixes wait long, which keeps the number of calls low
// in a large fleet.
type watchProgress struct {
	// synced is the revision up to which the copy is known to be complete.
	synced atomic.Uint64
	// newest is the revision of the newest change seen here.
	newest atomic.Uint64
	// peerNewest is the revision of the newest change that any other process saw.
	peerNewest atomic.Uint64
	// listed is the revision of the last list that the copy is known to contain. A watch's
	// answer without changes does not move it, since the watch may miss changes.
	listed atomic.Uint64
	// checked is the newest revision of a peer that was known when that list was requested.
	checked atomic.Uint64
}

// recordListed records a list that the copy contains, and the newest revision of a peer that
// was known when it was requested.
func (progress *watchProgress) recordListed(revision, peerNewest uint64) {
	storeMax(&progress.listed, revision)
	storeMax(&progress.checked, peerNewest)
}

// known returns the revision up to which peers' revisions show no change that the copy lacks.
func (progress *watchProgress) known() uint64 {
	return max(progress.listed.Load(), progress.checked.Load(), progress.newest.Load())
}

// WithLongWatches lets watches wait long while allowed returns true. It should do so
// while most peers, which watch the same prefix, report and no call has failed lately: a
// peer that sees a change reports its revision, so a watch here that missed it is
// noticed.
func WithLongWatches(allowed func() bool) Option {
	return func(follower *Follower) { follower.LongWatchesAllowed = allowed }
}

// NewestRevision returns the revision of the newest change seen here.
func (follower *Follower) NewestRevision() keeper.Revision {
	return keeper.Revision(follower.progress.newest.Load())
}

// SyncedRevision returns the revision up to which the copy is known to be complete. It
// is 0 while there is only another process's copy.
func (follower *Follower) SyncedRevision() keeper.Revision {
	return keeper.Revision(follower.progress.synced.Load())
}

// ApplyPeerRevision records the newest revision that another process saw.
func (follower *Follower) ApplyPeerRevision(revision keeper.Revision) {
	storeMax(&follower.progress.peerNewest, uint64(revision))
}

// IsOutdated tells whether another process saw a newer change than this copy contains.
func (follower *Follower) IsOutdated() bool {
	known := follower.progress.known()
	// Without verification, no list would settle what a peer reports.
	if follower.verification.within <= 0 {
		known = max(known, follower.progress.synced.Load())
	}

	return follower.progress.peerNewest.Load() > known
}

// storeMax sets the number to the value unless it is already as great.
func storeMax(number *atomic.Uint64, value uint64) {
	for current := number.Load(); value > current; current = number.Load() {
		if number.CompareAndSwap(current, value) {
			return
		}
	}
}

// recordSynced records the revision of the copy as synced.
func (follower *Follower) recordSynced() {
	storeMax(&follower.progress.synced, uint64(follower.revision))
}

// superviseLongWatch cancels a long watch whose answer may be lost: long watches are no
// longer allowed, or a peer saw a change that the watch has not returned.
func (follower *Follower) superviseLongWatch(ctx context.Context, end context.CancelFunc) {
	for kernel.Pause(ctx, longWatchCheckInterval) {
		peerNewest := follower.progress.peerNewest.Load()
		if follower.LongWatchesAllowed() && peerNewest <= max(follower.progress.synced.Load(), follower.checkedPeerRevision) {
			continue
		}

		follower.Log.WithField("Prefix", follower.Prefix).WithField("Revision", follower.progress.synced.Load()).
			WithField("Heard", peerNewest).Info("Watch may have missed changes; watching again.")
		end()

		return
	}
}
