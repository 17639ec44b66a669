package follower

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"limpetrail/keeper"
	"limpetrail/kernel"
)

const (
	// watchWait is how long a watch waits for changes by default. A watch whose
	// answer was lost is noticed after this time; shorter waits make more calls.
	watchWait = 4 * time.Second
	// retryPause is the mean pause after a failed call.
	retryPause = 250 * time.Millisecond
)

// Copy holds the items below a prefix, by key without the prefix.
type Copy map[string]keeper.Item

// Follower keeps a copy of the items below a prefix.
type Follower struct {
	kernel.Common
	Client *keeper.CatalogClient
	Prefix string
	// DelayRemovals tells whether removed keys stay in the copy for a short time, within
	// RemovalBounds.
	DelayRemovals bool
	RemovalBounds RemovalBounds
	// Pause returns how long to pause before each watch, so that one answer carries
	// more changes; nil for no pause.
	Pause func() time.Duration
	// WatchWait is how long a watch waits for changes.
	WatchWait time.Duration
	// LongWatchesAllowed tells whether watches may wait for longWatchWait; nil for never.
	LongWatchesAllowed func() bool
	// Apply receives each new copy. It must not change or keep the copy.
	Apply func(current Copy)

	// Fallback returns another process's copy, for a start while the service is
	// unavailable; nil for none.
	Fallback func(ctx context.Context, prefix string) (keeper.Page, error)

	// Share receives each published copy that was read from the service; nil for none.
	Share func(prefix string, items []keeper.Item, revision keeper.Revision)

	// Verified is called after each verification of the copy; nil for none.
	Verified func()

	// snapshot is the last published copy, for other processes.
	snapshot atomic.Pointer[keeper.Page]

	progress watchProgress
	// checkedPeerRevision is the newest revision of a peer when a long watch was last
	// restarted. The same revision restarts no other, so that one that never arrives
	// doesn't cause endless restarts.
	checkedPeerRevision uint64

	verification *verification
	// verificationFailed tells whether the last verification failed; only superviseCopy uses it.
	verificationFailed bool
	// missed receives when the copy lacks a known change and must be listed.
	missed chan struct{}

	current Copy
	// digest is that of the items in the copy, without the removed ones.
	digest uint64
	// removed holds when each removed key is dropped from the copy.
	removed     map[string]time.Time
	revision    keeper.Revision
	watchFailed bool
	// lostInRow is the number of watches that were lost at once since one was last answered or
	// waited for retryPause.
	lostInRow int
	// syncedAt is when the last answer of the service arrived; zero if there was none.
	syncedAt time.Time
}

// NewFollower returns a follower that passes its copies to apply.
func NewFollower(common kernel.Common, client *keeper.CatalogClient, prefix string, apply func(Copy), options ...Option) *Follower {
	follower := &Follower{
		Common:    common.ForPart("follower"),
		Client:    client,
		Prefix:    prefix,
		WatchWait: watchWait,
		Apply:     apply,
		current:   Copy{},
		removed:   map[string]time.Time{},

		verification: newVerification(),
		missed:       make(chan struct{}, 1),
	}
	for _, option := range options {
		option(follower)
	}

	return follower
}

// Run follows the prefix until the context ends.
func (follower *Follower) Run(ctx context.Context) {
	supervision := sync.WaitGroup{}
	supervision.Go(func() { follower.superviseCopy(ctx) })

	defer supervision.Wait()

	for ctx.Err() == nil {
		if err := follower.list(ctx); err != nil {
			follower.reportFailure(ctx, err)

			continue
		}

		follower.reportRecovery()
		follower.watchUntilLost(ctx)
	}
}

// watchUntilLost watches the prefix until it has to be listed again.
func (follower *Follower) watchUntilLost(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()

		err := follower.watch(ctx)
		if err == nil {
			follower.lostInRow = 0

			continue
		}

		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, errMissed):
			follower.logMissed()

			return
		case errors.Is(err, keeper.ErrCompacted):
			follower.Log.WithField("Prefix", follower.Prefix).WithField("Error", err).Info("Key-value history was compacted; listing the prefix again.")
		default:
			follower.Log.WithField("Prefix", follower.Prefix).WithField("Error", err).Info("Watch was cut; listing the prefix again.")
		}

		if time.Since(began) >= retryPause {
			follower.lostInRow = 0
		}

		follower.lostInRow++

		// The first loss is followed by a list at once, as changes may have been missed.
		if follower.lostInRow > 1 {
			follower.pauseAfterFailure(ctx)
		}

		return
	}
}

// list reads all items below the prefix. A process without a copy meanwhile uses another
// process's, since the service may be unavailable without the call failing soon.
func (follower *Follower) list(ctx context.Context) error {
	listings := make(chan listing, 1)
	began, peerNewest := time.Now(), follower.progress.peerNewest.Load()

	follower.verification.recordAttempt(began)

	go func() {
		listing := follower.readAll(ctx)
		listing.began, listing.peerNewest = began, peerNewest
		listings <- listing
	}()

	fallback := follower.fetchFallback(ctx)

	for {
		select {
		case <-follower.nextExpiry():
			follower.publishExpired()
		case page, found := <-fallback:
			if found {
				follower.applyFallback(page)
			}

			fallback = nil
		case listing := <-listings:
			if listing.err != nil {
				// The fallback may still arrive and is the only copy now.
				if fallback != nil {
					if page, found := <-fallback; found {
						follower.applyFallback(page)
					}
				}

				return errors.Trace(listing.err)
			}

			follower.applyListing(listing)

			return nil
		}
	}
}

// applyListing updates the copy from a listing. Keys missing from it were removed while
// no watch was running, or the watch has missed their removal.
func (follower *Follower) applyListing(listing listing) {
	present := map[string]bool{}

	for _, item := range listing.items {
		present[item.Key[len(follower.Prefix):]] = true
		follower.put(item)
	}

	age := time.Since(follower.syncedAt)
	// The answers of a watch that misses changes don't show that the copy was complete.
	if verified := follower.verification.lastVerified(); follower.verification.within > 0 && verified.Before(follower.syncedAt) {
		age = time.Since(verified)
	}

	for name := range follower.current {
		if !present[name] {
			follower.remove(name, age)
		}
	}

	follower.revision = listing.revision
	follower.syncedAt = time.Now()
	follower.recordSynced()
	follower.progress.recordListed(uint64(listing.revision), listing.peerNewest)
	follower.verification.recordApplied(listing.began, follower.digest, listing.consistent)

	// This list contains the change that a signal sent before was about.
	select {
	case <-follower.missed:
	default:
	}

	follower.dropExpired()
	follower.publish()
	follower.reportVerified()
}

func (follower *Follower) watch(ctx context.Context) error {
	// After a failed watch, changes have gathered for long enough.
	if follower.Pause != nil && follower.lostInRow == 0 && follower.pause(ctx, follower.Pause()) {
		return errors.Trace(errMissed)
	}

	var (
		changes keeper.Changes
		err     error
	)

	revision := follower.revision
	follower.verification.setWatching(time.Now())

	missed := follower.dropExpiredDuring(ctx, follower.missed, func(ctx context.Context) { changes, err = follower.watchOnce(ctx, revision) })

	follower.verification.setWatching(time.Time{})

	if missed {
		return errors.Trace(errMissed)
	}

	if err != nil {
		return errors.Trace(err)
	}

	// A change that came while the watch waited was answered at once, so an older one came
	// before the service was asked.
	age := changes.Asked.Sub(follower.syncedAt)

	for _, event := range changes.Events {
		storeMax(&follower.progress.newest, uint64(event.Revision))

		if event.Deleted {
			follower.remove(event.Key[len(follower.Prefix):], age)
		} else {
			follower.put(event.Item)
		}

		follower.verification.recordState(follower.digest)
	}

	follower.revision = max(follower.revision, changes.Revision)

	// A long watch that was ended here was not answered.
	if !changes.Asked.IsZero() {
		follower.syncedAt = time.Now()
	}

	follower.recordSynced()

	if expired := follower.dropExpired(); expired || len(changes.Events) > 0 {
		follower.publish()
	}

	return nil
}

// pause waits for the duration, unless the context ends before. It ends early and returns
// true if the prefix must be listed.
func (follower *Follower) pause(ctx context.Context, duration time.Duration) bool {
	return follower.dropExpiredDuring(ctx, follower.missed, func(ctx context.Context) { kernel.Pause(ctx, duration) })
}

// watchOnce makes one watch call. A long watch that superviseLongWatch cancels returns
// no changes and no error, so that the caller watches again.
func (follower *Follower) watchOnce(ctx context.Context, revision keeper.Revision) (keeper.Changes, error) {
	wait := follower.nextWait()
	watchCtx, cancel := context.WithCancel(ctx)

	defer cancel()

	if wait > follower.WatchWait {
		go follower.superviseLongWatch(watchCtx, cancel)
	}

	changes, err := follower.Client.Watch(watchCtx, follower.Prefix, revision, wait)
	if err != nil && watchCtx.Err() != nil && ctx.Err() == nil {
		follower.checkedPeerRevision = follower.progress.peerNewest.Load()

		return keeper.Changes{}, nil
	}

	return changes, errors.Trace(err)
}

// nextWait returns how long the next watch may wait.
func (follower *Follower) nextWait() time.Duration {
	if follower.LongWatchesAllowed != nil && follower.LongWatchesAllowed() {
		return max(follower.WatchWait, longWatchWait)
	}

	return follower.WatchWait
}

// put adds or replaces an item, unless the copy has a newer revision of it.
func (follower *Follower) put(item keeper.Item) {
	name := item.Key[len(follower.Prefix):]
	if item.Revision < follower.current[name].Revision {
		return
	}

	storeMax(&follower.progress.newest, uint64(item.Revision))

	if known, found := follower.current[name]; found && follower.removed[name].IsZero() {
		follower.digest ^= digestOf(known)
	}

	follower.digest ^= digestOf(item)
	follower.current[name] = item
	delete(follower.removed, name)
}

func (follower *Follower) publish() {
	follower.snapshot.Store(&keeper.Page{Items: slices.Collect(maps.Values(follower.current)), Revision: follower.revision})
	follower.Apply(maps.Clone(follower.current))

	// A fallback copy has no revision; it came from another process, so it isn't shared.
	if follower.Share != nil && follower.revision > 0 {
		items, revision, _ := follower.Snapshot()
		follower.Share(follower.Prefix, items, revision)
	}
}

// Snapshot returns the last published copy and its revision, and whether there is one.
func (follower *Follower) Snapshot() ([]keeper.Item, keeper.Revision, bool) {
	page := follower.snapshot.Load()
	if page == nil {
		return nil, 0, false
	}

	return page.Items, page.Revision, true
}

// fetchFallback asks for another process's copy in the background. The channel is closed
// after the copy or a failure; it is nil if there is a copy already.
func (follower *Follower) fetchFallback(ctx context.Context) <-chan keeper.Page {
	if follower.Fallback == nil || follower.snapshot.Load() != nil {
		return nil
	}

	fallback := make(chan keeper.Page, 1)

	go func() {
		defer close(fallback)

		page, err := follower.Fallback(ctx, follower.Prefix)
		if err != nil {
			follower.Log.WithField("Prefix", follower.Prefix).WithError(err).Info("No copy was received from another process.")

			return
		}

		fallback <- page
	}()

	return fallback
}

// applyFallback publishes another process's copy until the service answers.
func (follower *Follower) applyFallback(page keeper.Page) {
	for _, item := range page.Items {
		follower.put(item)
	}

	follower.Log.WithField("Prefix", follower.Prefix).WithField("Revision", page.Revision).Info("Using a copy from another process.")
	follower.publish()
}

// reportFailure logs the first of several failures and pauses before the next try.
func (follower *Follower) reportFailure(ctx context.Context, err error) {
	if !follower.watchFailed {
		follower.watchFailed = true
		follower.Log.WithField("Prefix", follower.Prefix).WithField("Error", err).Warn("Watch is lost; the last copy remains in use.")
	}

	follower.pauseAfterFailure(ctx)
}

// pauseAfterFailure pauses before the next list.
func (follower *Follower) pauseAfterFailure(ctx context.Context) {
	follower.dropExpiredDuring(ctx, nil, func(ctx context.Context) { kernel.Pause(ctx, retryPause/2+rand.N(retryPause)) })
}

func (follower *Follower) reportRecovery() {
	if follower.watchFailed {
		follower.watchFailed = false
		follower.Log.WithField("Prefix", follower.Prefix).WithField("Revision", follower.revision).Info("Watch works again.")
	}
}
