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
	// saveInterval is the minimum time between two saves of partial output. A longer
	// interval loses more output in a crash; a shorter one costs more calls.
	saveInterval = 1500 * time.Millisecond
	// maxSaveBytes bounds the output in one transaction.
	maxSaveBytes = 500 << 10
	// maxSavedJobs is the maximum number of jobs in one transaction; each needs a
	// condition and a value.
	maxSavedJobs = keeper.MaxTransactionEntries / 2
)

// savePartials periodically saves the output of unfinished items, so that the next
// owner can resume them.
func (batcher *Batcher) savePartials(ctx context.Context) {
	for {
		select {
		case <-time.After(batcher.saveDelay()):
		case <-ctx.Done():
			return
		}

		batcher.saveAllPartials(ctx)
	}
}

// partialSave saves the partial output of some jobs in one transaction.
type partialSave struct {
	transaction keeper.Transaction
	// progress is the progress of each job at this save; see activeJob.savedProgress.
	progress map[*activeJob]int
	size     int
}

// saveAllPartials saves the partial output of all jobs that made progress since the
// last save. An older save that takes effect late only loses the output since then.
func (batcher *Batcher) saveAllPartials(ctx context.Context) {
	saves, err := batcher.unsavedPartials()
	if err != nil {
		batcher.Log.WithError(err).Error("Partial output could not be encoded as JSON.")

		return
	}

	for _, save := range saves {
		committed, err := batcher.ledger.Client.Transact(ctx, save.transaction)
		if err != nil || committed.Applied != keeper.WriteApplied {
			batcher.Log.WithField("Jobs", len(save.progress)).WithError(err).Info("Partial output could not be saved; retrying with the next save.")

			continue
		}

		batcher.recordSaved(save)
	}
}

func (batcher *Batcher) recordSaved(save *partialSave) {
	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()

	for active, progress := range save.progress {
		active.savedProgress = progress
	}
}

// unsavedPartials builds transactions for the jobs with new partial output.
func (batcher *Batcher) unsavedPartials() ([]*partialSave, error) {
	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()

	saves, current := []*partialSave{}, (*partialSave)(nil)

	for id, active := range batcher.active {
		partials, progress := active.partials()
		if !active.claimed || !batcher.isHeadOwner(active.record) || progress <= active.savedProgress {
			continue
		}

		value, err := json.Marshal(partials)
		if err != nil {
			return nil, errors.Trace(err)
		}

		if current == nil || len(current.progress) == maxSavedJobs || current.size > maxSaveBytes {
			current = &partialSave{progress: map[*activeJob]int{}}
			saves = append(saves, current)
		}

		current.size += len(value)
		current.progress[active] = progress
		current.transaction.Conditions = append(current.transaction.Conditions, keeper.Condition{Key: bookkeeper.HeadKey(id), Revision: active.record.Head().Revision})
		current.transaction.Puts = append(current.transaction.Puts, keeper.Put{Key: bookkeeper.PartialsKey(id), Value: value})
	}

	return saves, nil
}

// partials returns the partial output of the unfinished items of a job, and their
// total progress.
func (active *activeJob) partials() (map[string]bookkeeper.Partial, int) {
	partials, progress := map[string]bookkeeper.Partial{}, 0

	for _, task := range active.unfinished {
		if snapshot := task.partial(); snapshot.Events+snapshot.Failures > 0 {
			partials[task.item.ID] = snapshot
			progress += snapshot.Events + snapshot.Failures
		}
	}

	return partials, progress
}
