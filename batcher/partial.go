package batcher

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"limpetrail/bookkeeper"
	"limpetrail/keeper"
)

const (
	// saveInterval is how often the output of unfinished items is saved. What
	// was made since is made again after a crash; each save is a call.
	saveInterval = 1500 * time.Millisecond
	// maxSave bounds the output in one transaction.
	maxSave = 500 << 10
	// maxSavedJobs keeps a transaction within 32 entries.
	maxSavedJobs = 30
)

// save keeps what unfinished items have, so that the next owner goes on there.
func (batcher *Batcher) save(ctx context.Context) {
	for {
		select {
		case <-time.After(saveInterval):
		case <-ctx.Done():
			return
		}

		batcher.saveOnce(ctx)
	}
}

// saveOnce writes the partial output of all jobs that made some since the last
// time. An older copy that takes effect late only costs what was made since.
func (batcher *Batcher) saveOnce(ctx context.Context) {
	transaction, saved, err := batcher.unsaved()
	if err != nil {
		batcher.Log.WithError(err).Error("Partial output cannot be written as text.")

		return
	}

	if len(saved) == 0 {
		return
	}

	committed, err := batcher.ledger.Client.Transact(ctx, transaction)
	if err != nil || committed.Applied != keeper.WriteApplied {
		batcher.Log.WithField("Jobs", len(saved)).WithError(err).Info("Partial output is not saved.")

		return
	}

	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()

	for owned, events := range saved {
		owned.saved = events
	}
}

// unsaved gathers the jobs with new partial output, and how many events each has.
func (batcher *Batcher) unsaved() (keeper.Transaction, map[*work]int, error) {
	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()

	transaction, saved, size := keeper.Transaction{}, map[*work]int{}, 0

	for id, owned := range batcher.owned {
		partials, events := owned.partials()
		if events <= owned.saved || len(saved) == maxSavedJobs || size > maxSave {
			continue
		}

		value, err := json.Marshal(partials)
		if err != nil {
			return transaction, nil, errors.Trace(err)
		}

		size += len(value)
		saved[owned] = events

		transaction.Conditions = append(transaction.Conditions, keeper.Condition{Key: bookkeeper.HeadKey(id), Revision: owned.record.known().Revision})
		transaction.Puts = append(transaction.Puts, keeper.Put{Key: bookkeeper.PartialKey(id), Value: value})
	}

	return transaction, saved, nil
}

// partials returns what the unfinished items of a job have, and the sum of
// their events.
func (work *work) partials() (map[string]bookkeeper.Partial, int) {
	partials, events := map[string]bookkeeper.Partial{}, 0

	for _, task := range work.unfinished {
		if made := task.partial(); made.Events > 0 {
			partials[task.item.ID] = made
			events += made.Events
		}
	}

	return partials, events
}
