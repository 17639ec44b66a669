package admitter

import (
	"math"
	"time"
)

const (
	// firmExpiry is how long a firm counts as active after its last arrival,
	// and the time over which its arrivals are averaged.
	firmExpiry = 30 * time.Second
	// firmWarmup is how long a firm must have been active to be established.
	// Only then are places kept free for it: a single burst gets no idle
	// places.
	firmWarmup = 5 * time.Second
	// maxKeptFree is the most places kept free for one firm. If more of its
	// requests arrive at once, they get places as requests of other firms
	// finish.
	maxKeptFree = 4
	// maxFirms is the number of records above which those of expired firms are
	// dropped.
	maxFirms = 1024
)

// firm is the admission state of one firm.
type firm struct {
	// running and queued count its online requests with a place and in the
	// queue.
	running int
	queued  int
	// firstArrival and lastArrival delimit the firm's present period of
	// activity, which has no gap of firmExpiry.
	firstArrival time.Time
	lastArrival  time.Time
	// arrivalRate is the moving average of the firm's arrivals per second over
	// firmExpiry, as of lastArrival; refused requests count.
	arrivalRate float64
}

func (firm *firm) recordArrival(now time.Time) {
	if firm.firstArrival.IsZero() || now.Sub(firm.lastArrival) >= firmExpiry {
		firm.firstArrival = now
	}

	firm.arrivalRate = firm.arrivalRateAt(now) + 1/firmExpiry.Seconds()
	firm.lastArrival = now
}

// arrivalRateAt returns the arrival rate, decayed to the given time.
func (firm *firm) arrivalRateAt(now time.Time) float64 {
	return firm.arrivalRate * math.Exp(-now.Sub(firm.lastArrival).Seconds()/firmExpiry.Seconds())
}

// isEstablished reports whether the firm is active and has been so for at least
// firmWarmup.
func (firm *firm) isEstablished(now time.Time) bool {
	return firm.lastArrival.Sub(firm.firstArrival) >= firmWarmup && now.Sub(firm.lastArrival) < firmExpiry
}

// isExpired reports whether the record of the firm can be dropped.
func (firm *firm) isExpired(now time.Time) bool {
	return firm.running == 0 && firm.queued == 0 && now.Sub(firm.lastArrival) >= firmExpiry
}

// firm returns the record of a firm and creates it if needed.
func (adaptive *Adaptive) firm(name string, now time.Time) *firm {
	record, exists := adaptive.firms[name]
	if exists {
		return record
	}

	if len(adaptive.firms) >= maxFirms {
		for other, otherRecord := range adaptive.firms {
			if otherRecord.isExpired(now) {
				delete(adaptive.firms, other)
			}
		}
	}

	record = &firm{}
	adaptive.firms[name] = record

	return record
}

// guaranteedPlaces is the firm's share of the limit among the established
// firms.
func (adaptive *Adaptive) guaranteedPlaces(name string, now time.Time) float64 {
	own := adaptive.policy.weight(name)
	weights := own

	for other, record := range adaptive.firms {
		if other != name && record.isEstablished(now) {
			weights += adaptive.policy.weight(other)
		}
	}

	return float64(adaptive.limit()) * own / weights
}

// isBelowShare reports whether the firm asks for less than its guaranteed
// places while other firms are active, judged by its arrival rate and the mean
// hold time (Little's law). It may exceed those places for a moment.
func (adaptive *Adaptive) isBelowShare(name string, now time.Time) bool {
	record := adaptive.firm(name, now)

	return record.isEstablished(now) && !adaptive.isOnlyFirm(name, now) &&
		record.arrivalRateAt(now)*adaptive.meanHoldTime.Seconds() < adaptive.guaranteedPlaces(name, now)
}

// isOnlyFirm reports whether no other firm is established.
func (adaptive *Adaptive) isOnlyFirm(name string, now time.Time) bool {
	for other, record := range adaptive.firms {
		if other != name && record.isEstablished(now) {
			return false
		}
	}

	return true
}

// placesKeptFree returns how many places stay free for other firms that are
// below their share.
func (adaptive *Adaptive) placesKeptFree(name string, now time.Time) int {
	keptFree := 0

	for other := range adaptive.firms {
		if other != name && adaptive.isBelowShare(other, now) {
			keptFree += min(maxKeptFree, int(adaptive.guaranteedPlaces(other, now)))
		}
	}

	return keptFree
}

// freePlacesFor is how many more requests the firm could start now if none were
// waiting. A firm below its share may briefly exceed the limit while others
// hold its places; the others then get fewer places until the limit is met
// again, but not fewer than their guaranteed ones.
func (adaptive *Adaptive) freePlacesFor(name string, now time.Time) int {
	if adaptive.isBelowShare(name, now) {
		return int((1+maxOvershoot)*float64(adaptive.limit())) - adaptive.runningOnline
	}

	free := adaptive.freeOnlinePlaces()
	unusedShare := int(adaptive.guaranteedPlaces(name, now)) - adaptive.firm(name, now).running

	return min(free, max(unusedShare, free-adaptive.placesKeptFree(name, now)))
}

// waitingAhead counts the waiting requests that would take the firm's free
// places: its own, and those of other firms that could start now.
func (adaptive *Adaptive) waitingAhead(name string, now time.Time) int {
	waiting := 0

	for other, record := range adaptive.firms {
		if other == name {
			waiting += record.queued
		} else if record.queued > 0 {
			waiting += max(0, min(record.queued, adaptive.freePlacesFor(other, now)))
		}
	}

	return waiting
}

// isPaced reports whether the firm's starts must not slow down other firms: it
// asks for its share or more while others are active.
func (adaptive *Adaptive) isPaced(name string, now time.Time) bool {
	return !adaptive.isOnlyFirm(name, now) && !adaptive.isBelowShare(name, now)
}

// mayStart reports whether the firm may start a request now. A paced firm
// starts one request at a time, near the end of a step, and none while an
// online request waits for its first token: reading the new prompt would
// lengthen that very step.
func (adaptive *Adaptive) mayStart(name string, now time.Time) bool {
	switch {
	case adaptive.freePlacesFor(name, now) <= 0:
		return false
	case adaptive.isPaced(name, now):
		return !adaptive.awaitsOnlineFirstToken(now) && adaptive.mayStartPaced(now)
	default:
		return true
	}
}

// awaitsOnlineFirstToken reports whether an online request waits for its first
// token.
func (adaptive *Adaptive) awaitsOnlineFirstToken(now time.Time) bool {
	grace := firstTokenGraceIntervals * adaptive.policy.TokenInterval

	for place := range adaptive.places {
		if !place.request.Batch && place.awaitsFirstToken(now, grace) {
			return true
		}
	}

	return false
}
