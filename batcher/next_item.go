package batcher

import (
	"time"

	"limpetrail/sequencer"
)

// nextItem returns the waiting item that comes first in order, and its job. Both are
// nil if no item may start yet. The mutex must be held.
func (batcher *Batcher) nextItem(now time.Time) (*activeJob, *task) {
	var (
		bestJob  *activeJob
		bestTask *task
		bestItem sequencer.Item
	)

	for _, active := range batcher.active {
		for _, task := range active.waiting {
			if now.Before(task.notBefore) {
				continue
			}

			if item := batcher.sequencerItem(active, task); bestTask == nil || sequencer.Precedes(item, bestItem, now) {
				bestJob, bestTask, bestItem = active, task, item
			}
		}
	}

	return bestJob, bestTask
}

// sequencerItem converts a waiting task for the sequencer.
func (batcher *Batcher) sequencerItem(active *activeJob, task *task) sequencer.Item {
	return sequencer.Item{Due: active.job.Due, Remaining: batcher.runTimeEstimator.Remaining(task.eventCount), Events: task.eventCount, Key: active.job.ID + "/" + task.item.ID}
}
