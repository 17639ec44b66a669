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

	route := batcher.judgeRoute(active, chosen)
	if route == nil || !batcher.mayRun(active, chosen, route) {
		return true
	}

	work := batcher.workOf(active, chosen, route, now)

	grant, placed := batcher.Placer.PlaceBatch(work)
	if !placed {
		chosen.avoidServers = nil

		if work.Idle {
			chosen.notBefore = now.Add(trialRecheck)

			return true
		}

		return work.Continues && batcher.holdForSoftware(chosen, route)
	}

	chosen.heldSince = time.Time{}

	if chosen.trial {
		batcher.trying = chosen
	}

	active.waiting = slices.DeleteFunc(active.waiting, func(other *task) bool { return other == chosen })
	active.running++

	batcher.attempts.Go(func() { batcher.runAttempt(ctx, active, chosen, route, grant) })

	return true
}

// judgeRoute returns the destination of an item. It is nil if the item has to wait for a newer
// configuration, or was given up because its route has gone. The mutex must be held.
func (batcher *Batcher) judgeRoute(active *activeJob, pending *task) *destination {
	document := batcher.Configuration.Document()
	if document == nil || document.Version < active.job.Configuration {
		batcher.holdForConfiguration(active, pending, document)

		return nil
	}

	pending.awaitsConfiguration = false

	route := routeFor(document, active, pending)
	if route == nil {
		batcher.recordResult(active, pending, bookkeeper.GivenUp, "No batch route matches the item.")
	}

	return route
}

// workOf describes an item to the placer. The mutex must be held.
func (batcher *Batcher) workOf(active *activeJob, pending *task, route *destination, now time.Time) placer.Work {
	work := placer.Work{
		RequestID: pending.item.ID, Service: route.service, Due: active.job.Due,
		Exclude: pending.avoidServers, Idle: batcher.waitForIdleServer(pending, route),
	}
	if !batcher.sequencerItem(active, pending).CanMeetDeadline(now) {
		// The item will be late anyway, so it is preempted first.
		work.Due = active.job.GiveUp
	}

	if pending.lastEvent >= 0 && !batcher.discardIfGone(active, pending, route) {
		work.Continues, work.Software = true, pending.software
	}

	return work
}

// placeBeside gets a place for an item beside a silent run of it, if there is one now.
func (batcher *Batcher) placeBeside(active *activeJob, pending *task, exclude []string) (*placer.Grant, *destination) {
	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()

	// The configuration may have changed since the silent run was sent.
	target := routeFor(batcher.Configuration.Document(), active, pending)
	if target == nil || batcher.leaving {
		return nil, nil
	}

	grant, placed := batcher.Placer.PlaceBatch(placer.Work{
		RequestID: pending.item.ID, Service: target.service, Due: active.job.Due,
		Exclude:   slices.Concat(pending.avoidServers, exclude),
		Continues: pending.lastEvent >= 0, Software: pending.software,
	})
	if !placed {
		pending.avoidServers = nil

		return nil, nil
	}

	return grant, target
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
