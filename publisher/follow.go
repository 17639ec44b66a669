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
	firstPause = 500 * time.Millisecond
	// roleInterval is how often a process looks whether it has become a
	// watcher.
	roleInterval = time.Second
	// firstBackstop is the mean pause before the read of a process that has
	// heard of no document at all.
	firstBackstop = 20 * time.Second
)

// follow watches the key-value service while this process is chosen to, and
// reads it at long intervals otherwise.
func (publisher *Publisher) follow(ctx context.Context) {
	backstop := publisher.backstop()
	wait := time.Duration(0)

	for ctx.Err() == nil {
		switch {
		case publisher.members.watcher():
			wait = publisher.watch(ctx, wait)
			kernel.Pause(ctx, wait)
		case backstop.due():
			if !backstop.empty || publisher.Current().Revision == 0 {
				publisher.read(ctx)
			}

			backstop = publisher.backstop()
		default:
			kernel.Pause(ctx, roleInterval)
		}
	}
}

// watch polls once and returns the pause before the next poll, which grows
// with each failure.
func (publisher *Publisher) watch(ctx context.Context, last time.Duration) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, publisher.Settings.WatchTimeout)
	defer cancel()

	began := time.Now()
	before := publisher.Current().Revision

	entry, err := publisher.Store.Watch(ctx, DocumentKey, before)
	if err == nil {
		err = publisher.takeEntry(entry)
	}

	if err != nil {
		publisher.Log.WithError(err).Warn("No word from the key-value service.")

		mean := min(max(2*last, firstPause), publisher.Settings.LastPause)

		return jitter(mean)
	}

	if entry.Revision <= before && time.Since(began) < firstPause {
		return jitter(firstPause)
	}

	return 0
}

// read asks the key-value service once, for what the peers may have missed.
func (publisher *Publisher) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(keeper.WithPriority(ctx, keeper.PriorityBackground), publisher.Settings.Exchange)
	defer cancel()

	entry, err := publisher.Store.Get(ctx, DocumentKey)
	if err == nil {
		err = publisher.takeEntry(entry)
	}

	if err != nil {
		publisher.Log.WithError(err).Info("Reading the document failed; peers go on.")
	}
}

func (publisher *Publisher) takeEntry(entry keeper.Entry) error {
	if entry.Revision == 0 {
		return nil
	}

	_, err := publisher.Take(entry.Revision, entry.Value)

	return errors.Trace(err)
}

// backstopRead is the next read by a process that does not watch.
type backstopRead struct {
	time time.Time
	// empty tells that no document was known; the read is left out if a peer
	// sends one first.
	empty bool
}

func (read backstopRead) due() bool {
	return time.Now().After(read.time)
}

func (publisher *Publisher) backstop() backstopRead {
	if publisher.Current().Revision == 0 {
		return backstopRead{time: time.Now().Add(jitter(firstBackstop)), empty: true}
	}

	return backstopRead{time: time.Now().Add(jitter(publisher.Settings.Backstop))}
}

// jitter returns a duration between half and one and a half of the mean.
func jitter(mean time.Duration) time.Duration {
	return mean/2 + rand.N(mean)
}
