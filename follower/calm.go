package follower

import (
	"context"
	"sync/atomic"
	"time"

	"limpetrail/keeper"
	"limpetrail/kernel"
)

const (
	// calmWait is how long a watch waits in calm times; the platform allows 30 s.
	calmWait = 20 * time.Second
	// calmLook is how often a long watch is looked at.
	calmLook = 250 * time.Millisecond
)

// marks are what a follower tells other processes and hears from them: the load of
// many processes that each watch what seldom changes.
type marks struct {
	// reached is the revision up to which the copy is known to be right.
	reached atomic.Uint64
	// newest is the revision of the newest change that was seen.
	newest atomic.Uint64
	// heard is the newest change that any other process saw.
	heard atomic.Uint64
}

// WithCalm lets watches wait long while calm agrees: many other processes watch the
// same and are heard, and no call has failed lately. Whoever sees a change tells the
// others, so that one silent watch is noticed by them.
func WithCalm(calm func() bool) Option {
	return func(follower *Follower) { follower.Calm = calm }
}

// Mark returns the revision of the newest change that was seen here.
func (follower *Follower) Mark() keeper.Revision {
	return keeper.Revision(follower.marks.newest.Load())
}

// Reached returns the revision up to which the copy is known to be right. It is 0
// while there is only another process's copy.
func (follower *Follower) Reached() keeper.Revision {
	return keeper.Revision(follower.marks.reached.Load())
}

// Notice takes in the mark of another process.
func (follower *Follower) Notice(mark keeper.Revision) {
	raise(&follower.marks.heard, uint64(mark))
}

// raise sets a number that never falls.
func raise(number *atomic.Uint64, value uint64) {
	for before := number.Load(); value > before; before = number.Load() {
		if number.CompareAndSwap(before, value) {
			return
		}
	}
}

// note takes in how far the copy is.
func (follower *Follower) note() {
	raise(&follower.marks.reached, uint64(follower.revision))
}

// attend ends a long watch when it may be silent: times are no longer calm, or others
// saw a change that it has not brought.
func (follower *Follower) attend(ctx context.Context, end context.CancelFunc) {
	for kernel.Pause(ctx, calmLook) {
		heard := follower.marks.heard.Load()
		if follower.Calm() && heard <= max(follower.marks.reached.Load(), follower.doubted) {
			continue
		}

		follower.Log.WithField("Prefix", follower.Prefix).WithField("Revision", follower.marks.reached.Load()).
			WithField("Heard", heard).Info("Watch may be silent and is made anew.")
		end()

		return
	}
}
