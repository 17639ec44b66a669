package admitter

import (
	"math"
	"time"
)

const (
	// firmMemory is how long a firm counts after its last arrival, and the time
	// over which its use is averaged.
	firmMemory = 30 * time.Second
	// firmSettled is how long a firm's arrivals must go on before places are
	// kept for it: a single burst earns no idle places.
	firmSettled = 5 * time.Second
	// keptPlaces is the most places kept free for one firm. More arrivals at
	// once find places as those of the others end.
	keptPlaces = 6
	// lenderShare is the share of its guaranteed places below which a firm's
	// average use makes it one that lends them to others.
	lenderShare = 0.8
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
	// mean is the moving average of running over firmMemory, as of updated.
	mean    float64
	updated time.Time
}

// arrive notes an arrival.
func (firm *firm) arrive(now time.Time) {
	if firm.since.IsZero() || now.Sub(firm.arrived) >= firmMemory {
		firm.since = now
	}

	firm.arrived = now
}

// change moves running by so many.
func (firm *firm) change(by int, now time.Time) {
	firm.mean = firm.average(now)
	firm.updated = now
	firm.running += by
}

// average returns the mean of running as of now.
func (firm *firm) average(now time.Time) float64 {
	kept := math.Exp(-now.Sub(firm.updated).Seconds() / firmMemory.Seconds())

	return kept*firm.mean + (1-kept)*float64(firm.running)
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

	found = &firm{updated: now}
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

// lends tells whether the firm has used less than its guaranteed share while
// others are active. It may go beyond that share for a moment.
func (adaptive *Adaptive) lends(name string, now time.Time) bool {
	record := adaptive.firm(name, now)

	return record.settled(now) && !adaptive.alone(name, now) &&
		record.average(now) < lenderShare*adaptive.guaranteed(name, now)
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

// mayStart tells whether the firm may start a request now. Beside a firm that
// lends, the others start one at a time, and none while an online request is
// owed its first token: reading its prompt would lengthen that very step.
func (adaptive *Adaptive) mayStart(name string, now time.Time) bool {
	if adaptive.roomFor(name, now) <= 0 {
		return false
	}

	return adaptive.lends(name, now) || adaptive.kept(name, now) == 0 || !adaptive.owesFirst(now)
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
