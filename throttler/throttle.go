package throttler

import (
	"math"
	"time"
)

const (
	// burstTime times an entry's share is what it may send at once, and at least one request. It
	// lets peaks use what the time before them left.
	burstTime = 2 * time.Second
	// silenceLimit is the time without a statement after which each entry may send an equal
	// part of the limit. Without it, nobody would notice the end of a limit whose holders
	// have no requests to send.
	silenceLimit = 5 * time.Second
	// minPerSecond replaces lower limits: a server that takes nothing gets a request now and
	// then, whose answer tells whether it still does.
	minPerSecond = 0.1
)

// Throttle is the limit of one start of a backend server, and how much of this entry's share
// is left.
type Throttle struct {
	statement Statement
	// statedAt is when the server made the statement.
	statedAt time.Time
	// share is the part of the limit that this entry may use.
	share Share
	// saved is how many requests may be sent at savedAt. It may be a fraction and is never
	// above the burst.
	saved   float64
	savedAt time.Time
}

// Statement returns the present statement.
func (throttle *Throttle) Statement() Statement {
	return throttle.statement
}

// Age returns how long ago the server made the present statement.
func (throttle *Throttle) Age(now time.Time) time.Duration {
	return now.Sub(throttle.statedAt)
}

// Apply applies a statement that the server made at a time, unless a later one is known. It
// reports whether the limit changed.
func (throttle *Throttle) Apply(statement Statement, statedAt, now time.Time) bool {
	if statedAt.Before(throttle.statedAt) {
		return false
	}

	throttle.settle(now)

	if !throttle.statement.Limited {
		throttle.saved, throttle.savedAt = 0, now
	}

	changed := statement != throttle.statement
	throttle.statement, throttle.statedAt = statement, statedAt

	return changed
}

// SetShare sets the part of the limit that this entry may use.
func (throttle *Throttle) SetShare(share Share, now time.Time) {
	if share != throttle.share {
		throttle.settle(now)
		throttle.share = share
	}
}

// Wait returns how long it takes until a request may be sent; 0 if one may be sent now.
func (throttle *Throttle) Wait(now time.Time) time.Duration {
	if !throttle.statement.Limited {
		return 0
	}

	missing := 1 - throttle.available(now)
	if missing <= 0 {
		return 0
	}

	quiet := max(0, silenceLimit-throttle.Age(now))

	if perSecond := throttle.perSecond(); perSecond > 0 {
		return min(secondsOf(missing/perSecond), quiet+secondsOf(missing/throttle.equalShare()))
	}

	return quiet + secondsOf(missing/throttle.equalShare())
}

// Available returns how many requests may be sent now, with a limit.
func (throttle *Throttle) Available(now time.Time) int {
	return int(throttle.available(now))
}

// PerSecond returns how many requests a second this entry may send; infinite without a limit.
func (throttle *Throttle) PerSecond() float64 {
	if !throttle.statement.Limited {
		return math.Inf(1)
	}

	return throttle.perSecond()
}

// Take records a request that is sent now.
func (throttle *Throttle) Take(now time.Time) {
	if throttle.statement.Limited {
		throttle.settle(now)
		throttle.saved--
	}
}

// settle moves savedAt to now.
func (throttle *Throttle) settle(now time.Time) {
	throttle.saved, throttle.savedAt = throttle.available(now), now
}

// available returns how many requests may be sent now.
func (throttle *Throttle) available(now time.Time) float64 {
	perSecond := throttle.perSecond()
	gained := perSecond * now.Sub(throttle.savedAt).Seconds()

	// The equal share counts from the end of the silence limit on.
	if silent := min(throttle.Age(now)-silenceLimit, now.Sub(throttle.savedAt)); silent > 0 {
		gained = max(gained, throttle.equalShare()*silent.Seconds())
	}

	return min(throttle.saved+gained, max(1, perSecond*burstTime.Seconds()))
}

func (throttle *Throttle) perSecond() float64 {
	return throttle.share.perSecond(throttle.limit())
}

// equalShare is the limit divided among all entries.
func (throttle *Throttle) equalShare() float64 {
	return throttle.limit() / float64(max(1, throttle.share.Entries))
}

func (throttle *Throttle) limit() float64 {
	return max(minPerSecond, throttle.statement.PerSecond)
}

func secondsOf(seconds float64) time.Duration {
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}
