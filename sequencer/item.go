package sequencer

import "time"

const (
	// commitTime is the time from an item's last event until its result is committed:
	// results are collected for half a second before they are written.
	commitTime = 700 * time.Millisecond
	// urgentSlack is the slack below which an item is urgent: about one period of the
	// peaks of online requests, during which the item may lose its place.
	urgentSlack = 5 * time.Second
)

// Item describes a batch item that waits for a place.
type Item struct {
	Due time.Time
	// Remaining is the estimate of how long the item still has to run.
	Remaining time.Duration
	// Events is the number of events that the item has produced so far.
	Events int
	// Key orders items that are otherwise equal, always in the same way.
	Key string
}

// slack is how much time the item has to spare before its due time. If it is negative,
// the item will be late.
func (item Item) slack(now time.Time) time.Duration {
	return item.Due.Sub(now) - item.Remaining - commitTime
}

// CanMeetDeadline tells whether the item can still complete before its due time.
func (item Item) CanMeetDeadline(now time.Time) bool {
	return item.slack(now) >= 0
}

// IsUrgent tells whether the item can complete before its due time only if it starts soon.
func (item Item) IsUrgent(now time.Time) bool {
	slack := item.slack(now)

	return slack >= 0 && slack < urgentSlack
}

// Precedes tells whether an item starts before another one. Items that can still complete
// in time come first, so that an item that will be late anyway makes no other late; then
// the item with the earlier due time; then the one with more events produced.
func Precedes(item, other Item, now time.Time) bool {
	if inTime := item.CanMeetDeadline(now); inTime != other.CanMeetDeadline(now) {
		return inTime
	}

	if !item.Due.Equal(other.Due) {
		return item.Due.Before(other.Due)
	}

	if item.Events != other.Events {
		return item.Events > other.Events
	}

	return item.Key < other.Key
}
