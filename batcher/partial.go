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
	// saveInterval is how often at most the output of unfinished items is saved.
	// What was made since is made again after a crash; each save is a call.
	saveInterval = 1500 * time.Millisecond
	// maxSave bounds the output in one transaction.
	maxSave = 500 << 10
	// maxSavedJobs: each has a condition and its output.
	maxSavedJobs = keeper.MaxEntries / 2
)

// save keeps what unfinished items have, so that the next owner goes on there.
func (batcher *Batcher) save(ctx context.Context) {
	for {
		select {
		case <-time.After(batcher.saveAfter()):
		case <-ctx.Done():
			return
		}

		batcher.saveAll(ctx)
	}
}

// saving is the partial output of some jobs in one transaction.
type saving struct {
	transaction keeper.Transaction
	// progress is how far each job is in it.
	progress map[*work]int
	size     int
}

// saveAll writes the partial output of all jobs that made some since the last
// time. An older copy that takes effect late only costs what was made since.
func (batcher *Batcher) saveAll(ctx context.Context) {
	savings, err := batcher.unsaved()
	if err != nil {
		batcher.Log.WithError(err).Error("Partial output cannot be written as text.")

		return
	}

	for _, saving := range savings {
		committed, err := batcher.ledger.Client.Transact(ctx, saving.transaction)
		if err != nil || committed.Applied != keeper.WriteApplied {
			batcher.Log.WithField("Jobs", len(saving.progress)).WithError(err).Info("Partial output is not saved.")

			continue
		}

		batcher.noteSaved(saving)
	}
}

func (batcher *Batcher) noteSaved(saving *saving) {
	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()

	for owned, progress := range saving.progress {
		owned.saved = progress
	}
}

// unsaved gathers the jobs with new partial output.
func (batcher *Batcher) unsaved() ([]*saving, error) {
	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()

	savings, last := []*saving{}, (*saving)(nil)

	for id, owned := range batcher.owned {
		partials, progress := owned.partials()
		if !owned.claimed || !batcher.named(owned.record) || progress <= owned.saved {
			continue
		}

		value, err := json.Marshal(partials)
		if err != nil {
			return nil, errors.Trace(err)
		}

		if last == nil || len(last.progress) == maxSavedJobs || last.size > maxSave {
			last = &saving{progress: map[*work]int{}}
			savings = append(savings, last)
		}

		last.size += len(value)
		last.progress[owned] = progress
		last.transaction.Conditions = append(last.transaction.Conditions, keeper.Condition{Key: bookkeeper.HeadKey(id), Revision: owned.record.Head().Revision})
		last.transaction.Puts = append(last.transaction.Puts, keeper.Put{Key: bookkeeper.PartialKey(id), Value: value})
	}

	return savings, nil
}

// partials returns what the unfinished items of a job have, and how far they
// are together.
func (work *work) partials() (map[string]bookkeeper.Partial, int) {
	partials, progress := map[string]bookkeeper.Partial{}, 0

	for _, task := range work.unfinished {
		if made := task.partial(); made.Events+made.Failures > 0 {
			partials[task.item.ID] = made
			progress += made.Events + made.Failures
		}
	}

	return partials, progress
}
