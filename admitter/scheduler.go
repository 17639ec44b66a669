package admitter

import (
	"math"
	"time"
)

// startGrace is how many wanted token intervals a place may owe its first
// token before batch goes on without waiting for it.
const startGrace = 8

// maxBatchStarts is how many batch items may owe their first token at once.
const maxBatchStarts = 2

// schedule judges the window if it is over, then hands out what room there is.
// It is called with the mutex held, after every change.
func (adaptive *Adaptive) schedule(now time.Time) {
	adaptive.judge(now)
	adaptive.grantOnline(now)

	for adaptive.runningBatch > adaptive.batchCeiling() {
		adaptive.preempt()
	}

	adaptive.grantBatch(now)
}

// onlineRoom is how many further online requests may start; batch in the way
// gives way.
func (adaptive *Adaptive) onlineRoom() int {
	return adaptive.limit() - adaptive.runningOnline
}

// grantOnline starts waiting online tickets in fair order.
func (adaptive *Adaptive) grantOnline(now time.Time) {
	for adaptive.online.Len() > 0 {
		next, found := adaptive.online.PopAllowed(func(firm string) bool { return adaptive.mayStart(firm, now) })
		if !found {
			adaptive.countKept(now)

			return
		}

		adaptive.firms[next.ticket.Firm].queued--
		adaptive.grant(next, now)
	}
}

// countKept counts places kept from a firm that wants them as in use: the limit
// could not be learned beside them otherwise.
func (adaptive *Adaptive) countKept(now time.Time) {
	for name, record := range adaptive.firms {
		if record.queued > 0 && adaptive.roomFor(name, now) <= 0 {
			adaptive.peak = max(adaptive.peak, adaptive.limit())
		}
	}
}

// batchCeiling is how many batch places may stay: those that leave every
// online request its place within the limit.
func (adaptive *Adaptive) batchCeiling() int {
	return max(0, min(adaptive.limit()-adaptive.runningOnline-adaptive.online.Len(), adaptive.batchCap()))
}

// batchBound is how many batch places may be reached by starting further ones:
// the reserve stays free, but an idle engine always takes one, unless the
// policy reserves all of it.
func (adaptive *Adaptive) batchBound() int {
	reserve := adaptive.policy.Reserve
	if !adaptive.probed && reserve < 1 {
		// The engine's bound is not known yet, so there is nothing to take a
		// share of; online requests preempt as ever.
		reserve = 0
	}

	usable := int(math.Floor((1 - reserve) * float64(adaptive.limit())))
	bound := usable - adaptive.runningOnline - adaptive.online.Len()

	if adaptive.runningOnline == 0 && adaptive.policy.Reserve < 1 {
		bound = max(1, bound)
	}

	return max(0, min(bound, adaptive.batchCap()))
}

// grantBatch starts batch in order of due time, a few at a time and never while
// the engine owes an online request its first token: reading the prompt of a
// batch item would lengthen that very step.
func (adaptive *Adaptive) grantBatch(now time.Time) {
	for adaptive.runningBatch < adaptive.batchBound() && adaptive.mayStartBatch(now) {
		next, found := adaptive.batch.First()
		if !found || !adaptive.mayRunBeside(next.ticket) {
			return
		}

		adaptive.batch.Remove(next)
		adaptive.grant(next, now)
	}
}

// mayRunBeside keeps a ticket that asks to run alone apart from other batch.
// While one is first in order nothing else of batch starts.
func (adaptive *Adaptive) mayRunBeside(ticket Ticket) bool {
	if ticket.Alone {
		return adaptive.batchPlaces() == 0
	}

	for place := range adaptive.places {
		if place.ticket.Batch && place.ticket.Alone {
			return false
		}
	}

	return true
}

// batchPlaces counts the batch places not yet left, those taken back included:
// the engine may still carry them.
func (adaptive *Adaptive) batchPlaces() int {
	count := 0

	for place := range adaptive.places {
		if place.ticket.Batch {
			count++
		}
	}

	return count
}

func (adaptive *Adaptive) mayStartBatch(now time.Time) bool {
	grace := startGrace * adaptive.policy.TokenInterval
	pending := 0

	for place := range adaptive.places {
		switch {
		case place.taken || !place.starting(now, grace):
		case !place.ticket.Batch:
			return false
		default:
			pending++
		}
	}

	return pending < maxBatchStarts
}

func (adaptive *Adaptive) grant(waiter *waiter, now time.Time) {
	if len(adaptive.places) == 0 {
		adaptive.lastToken = now
	}

	adaptive.grants++
	place := &adaptivePlace{
		adaptive:    adaptive,
		ticket:      waiter.ticket,
		number:      adaptive.grants,
		granted:     now,
		grantedStep: adaptive.step,
		preempted:   make(chan struct{}),
	}
	adaptive.places[place] = struct{}{}

	if waiter.ticket.Batch {
		adaptive.runningBatch++
	} else {
		adaptive.runningOnline++
		adaptive.firm(waiter.ticket.Firm, now).running++
	}

	place.beside = adaptive.runningOnline + adaptive.runningBatch
	adaptive.peak = max(adaptive.peak, place.beside)
	waiter.place = place
	close(waiter.settled)
}

// preempt takes back the batch place with the fewest tokens to compute again,
// the newest among equals.
func (adaptive *Adaptive) preempt() {
	var least *adaptivePlace

	for place := range adaptive.places {
		if place.ticket.Batch && !place.taken && (least == nil || place.losesLessThan(least)) {
			least = place
		}
	}

	least.taken = true
	adaptive.runningBatch--
	close(least.preempted)
}

func (place *adaptivePlace) losesLessThan(other *adaptivePlace) bool {
	if place.tokens != other.tokens {
		return place.tokens < other.tokens
	}

	return place.number > other.number
}
