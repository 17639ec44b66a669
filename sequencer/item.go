package sequencer

import "time"

const (
	// listing is what comes after the last event: results are gathered for half a
	// second and listed.
	listing = 700 * time.Millisecond
	// urgentSlack is how much time an item may have to spare and still be urgent:
	// about one period of the callers' peaks, in which it may lose its place.
	urgentSlack = 5 * time.Second
)

// Item is what is known of an item that waits for a place.
type Item struct {
	Due time.Time
	// Left is how long it still has to run.
	Left time.Duration
	// Events is how much of it is done.
	Events int
	// Key orders equals, the same in each run.
	Key string
}

// slack is how much time the item has to spare; below zero it will be late.
func (item Item) slack(now time.Time) time.Duration {
	return item.Due.Sub(now) - item.Left - listing
}

// Fits tells whether the item can still be in time.
func (item Item) Fits(now time.Time) bool {
	return item.slack(now) >= 0
}

// Urgent tells whether the item can be in time, but not if it waits long.
func (item Item) Urgent(now time.Time) bool {
	slack := item.slack(now)

	return slack >= 0 && slack < urgentSlack
}

// Before tells whether an item goes before another one: first those that can be
// in time, so that one that will be late makes no other late; among these the
// one that is due first; among equals the one that has most behind it.
func Before(a, b Item, now time.Time) bool {
	if fits := a.Fits(now); fits != b.Fits(now) {
		return fits
	}

	if !a.Due.Equal(b.Due) {
		return a.Due.Before(b.Due)
	}

	if a.Events != b.Events {
		return a.Events > b.Events
	}

	return a.Key < b.Key
}
