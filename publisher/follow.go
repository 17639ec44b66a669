package publisher

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"limpetrail/keeper"
	"limpetrail/kernel"
)

const (
	// minWatchPause is the first backoff after a failed watch, and the pause
	// after a watch that returned early without a change.
	minWatchPause = 500 * time.Millisecond
	// roleCheckInterval is how often a process checks whether it has become a
	// watcher.
	roleCheckInterval = time.Second
	// initialBackstop is the mean pause before the backstop read of a process
	// that has no document yet.
	initialBackstop = 20 * time.Second
)

// followStore watches the key-value service while this process is a watcher, and
// reads it at long intervals otherwise.
func (publisher *Publisher) followStore(ctx context.Context) {
	backstop := publisher.nextBackstop()
	wait := time.Duration(0)

	for ctx.Err() == nil {
		switch {
		case publisher.members.shouldWatch():
			wait = publisher.watchStore(ctx, wait)
			kernel.Pause(ctx, wait)
		case backstop.due():
			if !backstop.withoutDocument || publisher.Current().Revision == 0 {
				publisher.readStore(ctx)
			}

			backstop = publisher.nextBackstop()
		default:
			kernel.Pause(ctx, roleCheckInterval)
		}
	}
}

// watchStore makes one long poll and returns the pause before the next one, which
// doubles with each failure.
func (publisher *Publisher) watchStore(ctx context.Context, lastPause time.Duration) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, publisher.Settings.WatchTimeout)
	defer cancel()

	started := time.Now()
	known := publisher.Current().Revision

	entry, err := publisher.Store.Watch(ctx, DocumentKey, known)
	if err == nil {
		err = publisher.applyEntry(entry)
	}

	if err != nil {
		publisher.Log.WithError(err).Warn("Watching the document in the key-value service failed; retrying after a pause.")

		mean := min(max(2*lastPause, minWatchPause), publisher.Settings.LastPause)

		return jitter(mean)
	}

	if entry.Revision <= known && time.Since(started) < minWatchPause {
		return jitter(minWatchPause)
	}

	return 0
}

// readStore reads the key-value service once, in case the peers missed a revision.
func (publisher *Publisher) readStore(ctx context.Context) {
	ctx, cancel := context.WithTimeout(keeper.WithPriority(ctx, keeper.PriorityBackground), publisher.Settings.Exchange)
	defer cancel()

	entry, err := publisher.Store.Get(ctx, DocumentKey)
	if err == nil {
		err = publisher.applyEntry(entry)
	}

	if err != nil {
		publisher.Log.WithError(err).Info("Reading the document from the key-value service failed; updates still arrive from peers.")
	}
}

func (publisher *Publisher) applyEntry(entry keeper.Entry) error {
	if entry.Revision == 0 {
		return nil
	}

	_, err := publisher.ApplyUpdate(entry.Revision, entry.Value)

	return errors.Trace(err)
}

// backstopRead schedules the next read by a process that does not watch.
type backstopRead struct {
	at time.Time
	// withoutDocument is true if no document was known at the time of scheduling;
	// the read is then skipped if a peer sends one first.
	withoutDocument bool
}

func (read backstopRead) due() bool {
	return time.Now().After(read.at)
}

func (publisher *Publisher) nextBackstop() backstopRead {
	if publisher.Current().Revision == 0 {
		return backstopRead{at: time.Now().Add(jitter(initialBackstop)), withoutDocument: true}
	}

	return backstopRead{at: time.Now().Add(jitter(publisher.Settings.Backstop))}
}

// jitter returns a random duration between 0.5 and 1.5 times the mean.
func jitter(mean time.Duration) time.Duration {
	return mean/2 + rand.N(mean)
}
