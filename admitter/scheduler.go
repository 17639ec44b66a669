package admitter

import (
	"math"
	"time"
)

// firstTokenGraceIntervals is the number of target token intervals for which
// further starts wait for a place's first token before they go ahead without
// it.
const firstTokenGraceIntervals = 8

// maxBatchStarting is how many batch items may wait for their first token at
// once.
const maxBatchStarting = 2

// schedule adjusts the limits if the window has ended, then grants free places.
// It is called with the mutex held, after every change.
func (adaptive *Adaptive) schedule(now time.Time) {
	adaptive.adjustLimits(now)
	adaptive.grantOnline(now)

	for adaptive.runningBatch > adaptive.batchKeepLimit() {
		adaptive.preempt()
	}

	adaptive.grantBatch(now)
}

// freeOnlinePlaces is how many further online requests may start; batch items
// in their way are preempted.
func (adaptive *Adaptive) freeOnlinePlaces() int {
	return adaptive.limit() - adaptive.runningOnline
}

// grantOnline grants places to waiting online requests in fair order.
func (adaptive *Adaptive) grantOnline(now time.Time) {
	for adaptive.online.Len() > 0 {
		next, found := adaptive.online.PopAllowed(func(firm string) bool { return adaptive.mayStart(firm, now) })
		if !found {
			adaptive.countKeptFreeAsUsed(now)

			return
		}

		adaptive.firms[next.request.Firm].queued--
		adaptive.grant(next, now)
	}
}

// countKeptFreeAsUsed counts places kept free from a firm with waiting requests
// as in use. Otherwise the limit would never appear used up, and could not
// grow.
func (adaptive *Adaptive) countKeptFreeAsUsed(now time.Time) {
	for name, record := range adaptive.firms {
		if record.queued > 0 && adaptive.freePlacesFor(name, now) <= 0 {
			adaptive.peak = max(adaptive.peak, adaptive.limit())
		}
	}
}

// batchKeepLimit is how many batch places may stay: as many as leave every
// online request its place within the limit.
func (adaptive *Adaptive) batchKeepLimit() int {
	return max(0, min(adaptive.limit()-adaptive.runningOnline-adaptive.online.Len(), adaptive.batchLimit()))
}

// batchStartLimit is how many batch places may be held once further items have
// started. The reserve stays free, but an engine without online requests always
// takes one item, unless the policy reserves the whole engine.
func (adaptive *Adaptive) batchStartLimit() int {
	reserve := adaptive.policy.Reserve
	if !adaptive.wasCut && reserve < 1 {
		// The engine's capacity is not known yet, so no share of it can be
		// reserved; online requests preempt batch items as usual.
		reserve = 0
	}

	usable := int(math.Floor((1 - reserve) * float64(adaptive.limit())))
	bound := usable - adaptive.runningOnline - adaptive.online.Len()

	if adaptive.runningOnline == 0 && adaptive.policy.Reserve < 1 {
		bound = max(1, bound)
	}

	return max(0, min(bound, adaptive.batchLimit()))
}

// grantBatch grants places to batch items in order of due time, a few at a time
// and never while an online request waits for its first token: reading the
// prompt of a batch item would lengthen that very step.
func (adaptive *Adaptive) grantBatch(now time.Time) {
	for adaptive.runningBatch < adaptive.batchStartLimit() && adaptive.mayStartBatch(now) {
		next, found := adaptive.batch.First()
		if !found || !adaptive.mayRunWithBatch(next.request) {
			return
		}

		adaptive.batch.Remove(next)
		adaptive.grant(next, now)
	}
}

// mayRunWithBatch reports whether the item may start beside the batch items
// that hold places: one that asks to run alone shares the engine with no other.
// While such an item is first in the queue, no other batch item starts.
func (adaptive *Adaptive) mayRunWithBatch(request PlaceRequest) bool {
	if request.Alone {
		return adaptive.heldBatchPlaces() == 0
	}

	for place := range adaptive.places {
		if place.request.Batch && place.request.Alone {
			return false
		}
	}

	return true
}

// heldBatchPlaces counts the batch places not yet released, including preempted
// ones: the engine may still run their items.
func (adaptive *Adaptive) heldBatchPlaces() int {
	count := 0

	for place := range adaptive.places {
		if place.request.Batch {
			count++
		}
	}

	return count
}

func (adaptive *Adaptive) mayStartBatch(now time.Time) bool {
	grace := firstTokenGraceIntervals * adaptive.policy.TokenInterval
	starting := 0

	for place := range adaptive.places {
		switch {
		case place.revoked || !place.awaitsFirstToken(now, grace):
		case !place.request.Batch:
			return false
		default:
			starting++
		}
	}

	return starting < maxBatchStarting
}

func (adaptive *Adaptive) grant(waiter *waiter, now time.Time) {
	if len(adaptive.places) == 0 {
		adaptive.lastToken = now
	}

	adaptive.placesGranted++
	place := &adaptivePlace{
		adaptive:    adaptive,
		request:     waiter.request,
		sequence:    adaptive.placesGranted,
		granted:     now,
		grantedStep: adaptive.step,
		preempted:   make(chan struct{}),
	}
	adaptive.places[place] = struct{}{}

	if waiter.request.Batch {
		adaptive.runningBatch++
	} else {
		adaptive.runningOnline++
		adaptive.firm(waiter.request.Firm, now).running++
	}

	place.heldAtGrant = adaptive.runningOnline + adaptive.runningBatch
	adaptive.peak = max(adaptive.peak, place.heldAtGrant)
	waiter.place = place
	close(waiter.decided)
}

// preempt preempts the batch place with the fewest tokens to compute again, the
// newest among equals.
func (adaptive *Adaptive) preempt() {
	var victim *adaptivePlace

	for place := range adaptive.places {
		if place.request.Batch && !place.revoked && (victim == nil || place.isCheaperToPreempt(victim)) {
			victim = place
		}
	}

	victim.revoked = true
	adaptive.runningBatch--
	close(victim.preempted)
}

func (place *adaptivePlace) isCheaperToPreempt(other *adaptivePlace) bool {
	if place.tokens != other.tokens {
		return place.tokens < other.tokens
	}

	return place.sequence > other.sequence
}
