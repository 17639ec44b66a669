package admitter

import (
	"math"
	"time"
)

const (
	// firmMemory is how long a firm counts after its last arrival, and the time
	// over which its arrivals are averaged.
	firmMemory = 30 * time.Second
	// firmSettled is how long a firm's arrivals must go on before places are
	// kept for it: a single burst earns no idle places.
	firmSettled = 5 * time.Second
	// keptPlaces is the most places kept free for one firm. More arrivals at
	// once find places as those of the others end.
	keptPlaces = 4
	// maxFirms is the number of records above which those of firms that are
	// gone are dropped.
	maxFirms = 1024
)

// firm is what one firm has at the engine.
type firm struct {
	// running and queued are its online requests with a place and in the queue.
	running int
	queued  int
	// since is the first arrival and arrived the last one, with no gap of
	// firmMemory between.
	since   time.Time
	arrived time.Time
	// rate is the moving average of its arrivals a second over firmMemory, as of
	// arrived; refused ones count.
	rate float64
}

// arrive notes an arrival.
func (firm *firm) arrive(now time.Time) {
	if firm.since.IsZero() || now.Sub(firm.arrived) >= firmMemory {
		firm.since = now
	}

	firm.rate = firm.rateAt(now) + 1/firmMemory.Seconds()
	firm.arrived = now
}

// rateAt returns the rate as of now.
func (firm *firm) rateAt(now time.Time) float64 {
	return firm.rate * math.Exp(-now.Sub(firm.arrived).Seconds()/firmMemory.Seconds())
}

// settled tells whether the firm has been active for a while.
func (firm *firm) settled(now time.Time) bool {
	return firm.arrived.Sub(firm.since) >= firmSettled && now.Sub(firm.arrived) < firmMemory
}

// gone tells whether nothing of the firm needs to be remembered.
func (firm *firm) gone(now time.Time) bool {
	return firm.running == 0 && firm.queued == 0 && now.Sub(firm.arrived) >= firmMemory
}

// firm returns the record of a firm.
func (adaptive *Adaptive) firm(name string, now time.Time) *firm {
	found, known := adaptive.firms[name]
	if known {
		return found
	}

	if len(adaptive.firms) >= maxFirms {
		for other, record := range adaptive.firms {
			if record.gone(now) {
				delete(adaptive.firms, other)
			}
		}
	}

	found = &firm{}
	adaptive.firms[name] = found

	return found
}

// guaranteed is the firm's share of the limit among the settled firms.
func (adaptive *Adaptive) guaranteed(name string, now time.Time) float64 {
	own := adaptive.policy.share(name)
	weights := own

	for other, record := range adaptive.firms {
		if other != name && record.settled(now) {
			weights += adaptive.policy.share(other)
		}
	}

	return float64(adaptive.limit()) * own / weights
}

// lends tells whether the firm asks for less than its guaranteed share while
// others are active, by its arrivals and the mean time that an answer takes
// (Little's law). It may go beyond that share for a moment.
func (adaptive *Adaptive) lends(name string, now time.Time) bool {
	record := adaptive.firm(name, now)

	return record.settled(now) && !adaptive.alone(name, now) &&
		record.rateAt(now)*adaptive.meanStay.Seconds() < adaptive.guaranteed(name, now)
}

// alone tells whether no other firm is settled.
func (adaptive *Adaptive) alone(name string, now time.Time) bool {
	for other, record := range adaptive.firms {
		if other != name && record.settled(now) {
			return false
		}
	}

	return true
}

// kept returns how many places stay free for lending firms other than the
// given one.
func (adaptive *Adaptive) kept(name string, now time.Time) int {
	kept := 0

	for other := range adaptive.firms {
		if other != name && adaptive.lends(other, now) {
			kept += min(keptPlaces, int(adaptive.guaranteed(other, now)))
		}
	}

	return kept
}

// roomFor is how many more requests the firm could start now if none waited.
// A lending firm may exceed the limit a little while others hold its places;
// the others get less until it is kept again, but not less than their shares.
func (adaptive *Adaptive) roomFor(name string, now time.Time) int {
	if adaptive.lends(name, now) {
		return int((1+overshoot)*float64(adaptive.limit())) - adaptive.runningOnline
	}

	room := adaptive.onlineRoom()
	lacks := int(adaptive.guaranteed(name, now)) - adaptive.firm(name, now).running

	return min(room, max(lacks, room-adaptive.kept(name, now)))
}

// waitingBefore is how many of those that wait would take the firm's room: its
// own, and those of others that could start now.
func (adaptive *Adaptive) waitingBefore(name string, now time.Time) int {
	waiting := 0

	for other, record := range adaptive.firms {
		if other == name {
			waiting += record.queued
		} else if record.queued > 0 {
			waiting += max(0, min(record.queued, adaptive.roomFor(other, now)))
		}
	}

	return waiting
}

// paced tells whether the firm's starts must not disturb others: it wants its
// share or more beside them.
func (adaptive *Adaptive) paced(name string, now time.Time) bool {
	return !adaptive.alone(name, now) && !adaptive.lends(name, now)
}

// mayStart tells whether the firm may start a request now. A paced one starts
// one at a time, near the end of a step, and none while an online request is
// owed its first token: reading its prompt would lengthen that very step.
func (adaptive *Adaptive) mayStart(name string, now time.Time) bool {
	switch {
	case adaptive.roomFor(name, now) <= 0:
		return false
	case adaptive.paced(name, now):
		return !adaptive.owesFirst(now) && adaptive.startsLate(now)
	default:
		return true
	}
}

// owesFirst tells whether the engine owes an online request its first token.
func (adaptive *Adaptive) owesFirst(now time.Time) bool {
	grace := startGrace * adaptive.policy.TokenInterval

	for place := range adaptive.places {
		if !place.ticket.Batch && place.starting(now, grace) {
			return true
		}
	}

	return false
}
