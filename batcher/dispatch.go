package batcher

import (
	"context"
	"slices"
	"time"

	"limpetrail/bookkeeper"
	"limpetrail/placer"
)

const (
	// dispatchInterval is how often free places are looked for without a signal, since
	// reports of other entries expire without one.
	dispatchInterval = 100 * time.Millisecond
	// maxUncommittedBytes bounds the output that waits for being committed to the
	// key-value service. Beyond it no further item starts.
	maxUncommittedBytes = 16 << 20
)

// dispatch starts waiting items in free places until the context ends.
func (batcher *Batcher) dispatch(ctx context.Context) {
	for ctx.Err() == nil {
		placeFreed := batcher.Placer.BatchCapacityChanged()

		for batcher.startNextItem(ctx) {
			continue
		}

		select {
		case <-placeFreed:
		case <-batcher.dispatchSignal:
		case <-time.After(dispatchInterval):
		case <-ctx.Done():
		}

		if !batcher.hasWaitingItems() {
			// Without waiting items, ignore freed places.
			select {
			case <-batcher.dispatchSignal:
			case <-ctx.Done():
			}
		}
	}
}

func (batcher *Batcher) hasWaitingItems() bool {
	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()

	for _, active := range batcher.active {
		if len(active.waiting) > 0 {
			return true
		}
	}

	return false
}

// startNextItem starts the next item in order if there is a place for it.
func (batcher *Batcher) startNextItem(ctx context.Context) bool {
	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()

	if batcher.leaving || batcher.uncommittedBytes() > maxUncommittedBytes {
		return false
	}

	now := time.Now()

	active, chosen := batcher.nextItem(now)
	if active == nil {
		return false
	}

	document := batcher.Configuration.Document()
	if document == nil || document.Version < active.job.Configuration {
		batcher.holdForConfiguration(active, chosen, document)

		return true
	}

	route := routeFor(document, active, chosen)
	if route == nil {
		batcher.recordResult(active, chosen, bookkeeper.GivenUp, "No batch route matches the item.")

		return true
	}

	chosen.awaitsConfiguration = false

	if !batcher.mayRun(active, chosen, route) {
		return true
	}

	work := placer.Work{RequestID: chosen.item.ID, Service: route.service, Due: active.job.Due}
	if !batcher.sequencerItem(active, chosen).CanMeetDeadline(now) {
		// The item will be late anyway, so it is preempted first.
		work.Due = active.job.GiveUp
	}

	if chosen.avoidServer != "" {
		work.Exclude = []string{chosen.avoidServer}
	}

	if chosen.lastEvent >= 0 && !batcher.discardIfGone(active, chosen, route) {
		work.Continues, work.Software = true, chosen.software
	}

	grant, placed := batcher.Placer.PlaceBatch(work)
	if !placed {
		chosen.avoidServer = ""

		return work.Continues && batcher.holdForSoftware(chosen, route)
	}

	chosen.heldSince = time.Time{}

	active.waiting = slices.DeleteFunc(active.waiting, func(other *task) bool { return other == chosen })
	active.running++

	batcher.attempts.Go(func() { batcher.runAttempt(ctx, active, chosen, route, grant) })

	return true
}

// uncommittedBytes is the size of all results that are not committed yet. The mutex
// must be held.
func (batcher *Batcher) uncommittedBytes() int {
	size := 0

	for _, active := range batcher.active {
		for _, result := range active.uncommitted {
			size += len(result.Output)
		}
	}

	return size
}
