package batcher

import (
	"context"
	"slices"
	"time"

	"limpetrail/bookkeeper"
	"limpetrail/placer"
)

const (
	// dispatchInterval is how often places are looked for without a sign that
	// one is free: reports of other entries age silently.
	dispatchInterval = 100 * time.Millisecond
	// maxUnlisted bounds the output that waits for the service. Beyond it no
	// further item starts.
	maxUnlisted = 16 << 20
)

// dispatch gives places to items until the context ends.
func (batcher *Batcher) dispatch(ctx context.Context) {
	for ctx.Err() == nil {
		room := batcher.Placer.Room()

		for batcher.startOne(ctx) {
			continue
		}

		select {
		case <-room:
		case <-batcher.wake:
		case <-time.After(dispatchInterval):
		case <-ctx.Done():
		}

		if !batcher.hasWork() {
			// Without work, signs of room are of no use.
			select {
			case <-batcher.wake:
			case <-ctx.Done():
			}
		}
	}
}

func (batcher *Batcher) hasWork() bool {
	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()

	for _, owned := range batcher.owned {
		if len(owned.waiting) > 0 {
			return true
		}
	}

	return false
}

// startOne starts the item that goes next, if there is a place for it.
func (batcher *Batcher) startOne(ctx context.Context) bool {
	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()

	if batcher.leaving || batcher.unlistedBytes() > maxUnlisted {
		return false
	}

	now := time.Now()

	owned, item := batcher.next(now)
	if owned == nil {
		return false
	}

	route := batcher.routeOf(owned, item)
	if route == nil {
		batcher.finish(owned, item, bookkeeper.GivenUp, "No route takes the item.")

		return true
	}

	work := placer.Work{RequestID: item.item.ID, Service: route.service, Due: owned.job.Due}
	if !batcher.sequenced(owned, item).Fits(now) {
		// It will be late anyway, and yields first.
		work.Due = owned.job.GiveUp
	}

	if item.avoid != "" {
		work.Exclude = []string{item.avoid}
	}

	grant, placed := batcher.Placer.PlaceBatch(work)
	if !placed {
		item.avoid = ""

		return false
	}

	owned.waiting = slices.DeleteFunc(owned.waiting, func(other *task) bool { return other == item })
	owned.running++

	batcher.running.Go(func() { batcher.run(ctx, owned, item, route, grant) })

	return true
}

// unlistedBytes is the output of finished items that are not listed yet, with
// the mutex held.
func (batcher *Batcher) unlistedBytes() int {
	bytes := 0

	for _, owned := range batcher.owned {
		for _, result := range owned.finished {
			bytes += len(result.Output)
		}
	}

	return bytes
}
