package batcher

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

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
	// jobs are in the order of the conditions and values in the transaction.
	jobs []*activeJob
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

	for len(saves) > 0 {
		save := saves[0]
		saves = saves[1:]

		committed, err := batcher.ledger.Client.Transact(ctx, save.transaction)
		if errors.Is(err, keeper.ErrRejected) {
			saves = append(save.split(), saves...)

			if len(save.progress) == 1 {
				// Without further progress the same value would be rejected again.
				batcher.recordSaved(save)
				batcher.Log.WithField("Bytes", save.size).WithError(err).Warn("Key-value service rejected partial output of a job; its items start over after a takeover.")
			}

			continue
		}

		if err != nil || committed.Applied != keeper.WriteApplied {
			batcher.Log.WithField("Jobs", len(save.progress)).WithError(err).Info("Partial output could not be saved; retrying with the next save.")

			continue
		}

		batcher.recordSaved(save)
	}
}

// split returns a save for each job, so that a rejected value keeps no other one out. It returns
// none for a single job.
func (save *partialSave) split() []*partialSave {
	if len(save.jobs) < 2 {
		return nil
	}

	saves := []*partialSave{}

	for index, active := range save.jobs {
		single := newPartialSave()
		single.add(active, save.progress[active], save.transaction.Conditions[index], save.transaction.Puts[index])
		saves = append(saves, single)
	}

	return saves
}

// add adds the partial output of a job.
func (save *partialSave) add(active *activeJob, progress int, condition keeper.Condition, put keeper.Put) {
	save.size += len(put.Value)
	save.jobs = append(save.jobs, active)
	save.progress[active] = progress
	save.transaction.Conditions = append(save.transaction.Conditions, condition)
	save.transaction.Puts = append(save.transaction.Puts, put)
}

func newPartialSave() *partialSave {
	return &partialSave{progress: map[*activeJob]int{}}
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

		value, omitted, err := bookkeeper.EncodePartials(partials, batcher.ledger.ChunkBytes())
		if err != nil {
			return nil, errors.Trace(err)
		}

		if omitted > 0 {
			batcher.Log.WithFields(logrus.Fields{"JobID": id, "Items": len(partials), "Omitted": omitted}).Info("Partial output does not fit into one value; the items with the least start over after a takeover.")
		}

		if current == nil || len(current.progress) == maxSavedJobs || current.size > maxSaveBytes {
			current = newPartialSave()
			saves = append(saves, current)
		}

		current.add(active, progress,
			keeper.Condition{Key: bookkeeper.HeadKey(id), Revision: active.record.Head().Revision}, keeper.Put{Key: bookkeeper.PartialsKey(id), Value: value})
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
