package follower

import (
	"time"

	"limpetrail/keeper"
)

const (
	// removalDelay is how long a removed key stays in the copy. Its lease may have expired
	// in an outage that this process did not notice.
	removalDelay = 1200 * time.Millisecond
	// returnTime is how long after an outage of the service keys whose lease expired in it
	// may take to be written again.
	returnTime = 2 * time.Second
	// applyTime is reserved for processing an answer of the service and for requests that
	// were decided on with the previous copy.
	applyTime = 250 * time.Millisecond
)

// RemovalBounds limit how long a removed key stays in the copy.
type RemovalBounds struct {
	// DropWithin is the time after its removal from the service within which a key must
	// have left the copy; 0 for no bound.
	DropWithin time.Duration
	// RejoinWithin is the time after a process has reached the service again from which
	// DropWithin applies to all removals; 0 for no bound.
	RejoinWithin time.Duration
}

// expiry returns when a removed key that is noticed now leaves the copy. Age is the longest
// time that may have passed since its removal.
func (bounds RemovalBounds) expiry(now time.Time, age time.Duration, outage keeper.Outage) time.Time {
	delay := removalDelay
	if bounds.DropWithin > 0 {
		delay = max(0, min(delay, bounds.DropWithin-applyTime-age))
	}

	expiry := now.Add(delay)
	if outage.EndedBefore(now.Add(-returnTime)) {
		return expiry
	}

	returned := outage.End
	if returned.IsZero() {
		returned = now
	}

	// The service was reachable again only after the last failed call began.
	afterOutage := returned.Add(returnTime)
	if latest := outage.LastFailure.Add(bounds.RejoinWithin); bounds.RejoinWithin > 0 && latest.Before(afterOutage) {
		afterOutage = latest
	}

	if afterOutage.After(expiry) {
		return afterOutage
	}

	return expiry
}
