package follower

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"limpetrail/keeper"
	"limpetrail/kernel"
)

const (
	// watchWait is how long a watch waits for changes where nothing else is
	// said. A watch that has gone silent is noticed after it; each watch is a
	// call that costs.
	watchWait = 4 * time.Second
	// retryPause is the mean pause after a call that failed.
	retryPause = 250 * time.Millisecond
	// removalHold is how long a removed key stays in the copy. Keys that lapse
	// while the service is away are back within two seconds of its return.
	removalHold = 1200 * time.Millisecond
	// returnHold replaces removalHold soon after the service failed.
	returnHold = 2 * time.Second
	// leastHold is the shortest wait of a watch that ends with a hold.
	leastHold = 10 * time.Millisecond
)

// Copy is what lies below a prefix, by key without the prefix.
type Copy map[string]keeper.Item

// Follower keeps a copy of what lies below a prefix.
type Follower struct {
	kernel.Common
	Client *keeper.CatalogClient
	Prefix string
	// Hold tells whether removed keys stay in the copy for a while.
	Hold bool
	// Pause comes before each watch, so that one answer carries more changes; nil
	// for none.
	Pause func() time.Duration
	// Wait is how long a watch waits for changes.
	Wait time.Duration
	// Calm tells whether watches may wait long; nil for never.
	Calm func() bool
	// Apply takes each new copy. It must not be changed or kept.
	Apply func(copied Copy)

	// Fallback returns another process's copy, for a start while the service is
	// away; nil for none.
	Fallback func(ctx context.Context, prefix string) (keeper.Page, error)

	// Share is told what was handed over; nil for nobody.
	Share func(prefix string, items []keeper.Item, revision keeper.Revision)

	// shown is what was handed last, for other processes.
	shown atomic.Pointer[keeper.Page]

	marks marks
	// doubted is the newest change heard of when a watch was last made anew for it.
	// One that never comes is not asked for again and again.
	doubted uint64

	copied Copy
	// removed holds the keys that are gone, and when they leave the copy.
	removed  map[string]time.Time
	revision keeper.Revision
	lost     bool
}

// NewFollower returns a follower that hands its copies to apply.
func NewFollower(common kernel.Common, client *keeper.CatalogClient, prefix string, apply func(Copy), options ...Option) *Follower {
	follower := &Follower{
		Common:  common.ForPart("follower"),
		Client:  client,
		Prefix:  prefix,
		Wait:    watchWait,
		Apply:   apply,
		copied:  Copy{},
		removed: map[string]time.Time{},
	}
	for _, option := range options {
		option(follower)
	}

	return follower
}

// Run follows the prefix until the context ends.
func (follower *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := follower.list(ctx); err != nil {
			follower.lose(ctx, err)

			continue
		}

		follower.regain()

		for ctx.Err() == nil {
			err := follower.watch(ctx)
			if errors.Is(err, keeper.ErrCompacted) {
				follower.Log.WithField("Prefix", follower.Prefix).Info("History is gone; reading anew.")

				break
			}

			if err != nil {
				follower.lose(ctx, err)

				continue
			}

			follower.regain()
		}
	}
}

// listing is all that lies below the prefix.
type listing struct {
	items    []keeper.Item
	revision keeper.Revision
	err      error
}

// list reads everything below the prefix. A process that has no copy yet takes
// another's meanwhile: the service may be away, and silent about it.
func (follower *Follower) list(ctx context.Context) error {
	listed := make(chan listing, 1)

	go func() {
		items, revision, err := follower.Client.RangeAll(ctx, follower.Prefix)
		listed <- listing{items: items, revision: revision, err: err}
	}()

	borrowed := follower.borrow(ctx)

	for {
		select {
		case page, found := <-borrowed:
			if found {
				follower.take(page)
			}

			borrowed = nil
		case listing := <-listed:
			if listing.err != nil {
				// The copy may be on its way, and is all that there is now.
				if borrowed != nil {
					if page, found := <-borrowed; found {
						follower.take(page)
					}
				}

				return errors.Trace(listing.err)
			}

			follower.apply(listing)

			return nil
		}
	}
}

// apply takes in a listing. What is missing now was removed in a gap of the
// watches.
func (follower *Follower) apply(listing listing) {
	present := map[string]bool{}

	for _, item := range listing.items {
		present[item.Key[len(follower.Prefix):]] = true
		follower.put(item)
	}

	for name := range follower.copied {
		if !present[name] {
			follower.remove(name)
		}
	}

	follower.revision = listing.revision
	follower.note()
	follower.hand()
}

func (follower *Follower) watch(ctx context.Context) error {
	if follower.Pause != nil {
		kernel.Pause(ctx, follower.Pause())
	}

	changes, err := follower.await(ctx)
	if err != nil {
		return errors.Trace(err)
	}

	for _, event := range changes.Events {
		raise(&follower.marks.newest, uint64(event.Revision))

		if event.Deleted {
			follower.remove(event.Key[len(follower.Prefix):])
		} else {
			follower.put(event.Item)
		}
	}

	follower.revision = max(follower.revision, changes.Revision)
	follower.note()

	if follower.release() || len(changes.Events) > 0 {
		follower.hand()
	}

	return nil
}

// await watches once. A long watch that may be silent ends without changes, and the
// next one is another call.
func (follower *Follower) await(ctx context.Context) (keeper.Changes, error) {
	wait := follower.nextWait()
	bounded, cancel := context.WithCancel(ctx)

	defer cancel()

	if wait > follower.Wait {
		go follower.attend(bounded, cancel)
	}

	changes, err := follower.Client.Watch(bounded, follower.Prefix, follower.revision, wait)
	if err != nil && bounded.Err() != nil && ctx.Err() == nil {
		follower.doubted = follower.marks.heard.Load()

		return keeper.Changes{}, nil
	}

	return changes, errors.Trace(err)
}

// nextWait is how long the next watch may wait: at most until the first hold
// ends.
func (follower *Follower) nextWait() time.Duration {
	wait := follower.Wait
	if follower.Calm != nil && follower.Calm() {
		wait = max(wait, calmWait)
	}

	for _, until := range follower.removed {
		wait = min(wait, max(leastHold, time.Until(until)))
	}

	return wait
}

// put takes in an item, unless the copy is newer.
func (follower *Follower) put(item keeper.Item) {
	name := item.Key[len(follower.Prefix):]
	if item.Revision < follower.copied[name].Revision {
		return
	}

	raise(&follower.marks.newest, uint64(item.Revision))

	follower.copied[name] = item
	delete(follower.removed, name)
}

func (follower *Follower) remove(name string) {
	if _, found := follower.copied[name]; !found {
		return
	}

	if !follower.Hold {
		delete(follower.copied, name)

		return
	}

	if _, held := follower.removed[name]; held {
		return
	}

	hold := removalHold
	if follower.Client.FailedWithin(returnHold) {
		hold = returnHold
	}

	follower.removed[name] = time.Now().Add(hold)
}

// release lets go of removed keys whose hold is over.
func (follower *Follower) release() bool {
	released := false

	for name, until := range follower.removed {
		if !time.Now().Before(until) {
			delete(follower.removed, name)
			delete(follower.copied, name)

			released = true
		}
	}

	return released
}

func (follower *Follower) hand() {
	follower.shown.Store(&keeper.Page{Items: slices.Collect(maps.Values(follower.copied)), Revision: follower.revision})
	follower.Apply(maps.Clone(follower.copied))

	// A borrowed copy has no revision, and is known to those it came from.
	if follower.Share != nil && follower.revision > 0 {
		items, revision, _ := follower.Shown()
		follower.Share(follower.Prefix, items, revision)
	}
}

// Shown returns what was handed last, and whether anything was.
func (follower *Follower) Shown() ([]keeper.Item, keeper.Revision, bool) {
	page := follower.shown.Load()
	if page == nil {
		return nil, 0, false
	}

	return page.Items, page.Revision, true
}

// borrow asks for another process's copy, unless there is one already; then it
// returns nil. The channel is closed when nothing more comes.
func (follower *Follower) borrow(ctx context.Context) <-chan keeper.Page {
	if follower.Fallback == nil || follower.shown.Load() != nil {
		return nil
	}

	borrowed := make(chan keeper.Page, 1)

	go func() {
		defer close(borrowed)

		page, err := follower.Fallback(ctx, follower.Prefix)
		if err != nil {
			follower.Log.WithField("Prefix", follower.Prefix).WithError(err).Info("No other process has a copy.")

			return
		}

		borrowed <- page
	}()

	return borrowed
}

// take uses another process's copy.
func (follower *Follower) take(page keeper.Page) {
	for _, item := range page.Items {
		follower.put(item)
	}

	follower.Log.WithField("Prefix", follower.Prefix).WithField("Revision", page.Revision).Info("Copy of another process is used.")
	follower.hand()
}

func (follower *Follower) lose(ctx context.Context, err error) {
	if !follower.lost {
		follower.lost = true
		follower.Log.WithField("Prefix", follower.Prefix).WithField("Error", err).Warn("Watch is lost; the last copy stays.")
	}

	kernel.Pause(ctx, retryPause/2+rand.N(retryPause))
}

func (follower *Follower) regain() {
	if follower.lost {
		follower.lost = false
		follower.Log.WithField("Prefix", follower.Prefix).WithField("Revision", follower.revision).Info("Watch is back.")
	}
}
