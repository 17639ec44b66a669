package batcher

import (
	"time"

	"limpetrail/sequencer"
)

// next returns the item that gets the next place, and its job's work, or nil.
// The mutex is held.
func (batcher *Batcher) next(now time.Time) (*work, *task) {
	var (
		owner *work
		first *task
		best  sequencer.Item
	)

	for _, owned := range batcher.owned {
		for _, task := range owned.waiting {
			if now.Before(task.notBefore) {
				continue
			}

			if item := batcher.sequenced(owned, task); first == nil || sequencer.Before(item, best, now) {
				owner, first, best = owned, task, item
			}
		}
	}

	return owner, first
}

// sequenced is a waiting task as the sequencer sees it.
func (batcher *Batcher) sequenced(owned *work, task *task) sequencer.Item {
	return sequencer.Item{Due: owned.job.Due, Left: batcher.pace.Left(task.events), Events: task.events, Key: owned.job.ID + "/" + task.item.ID}
}
