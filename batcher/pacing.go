package batcher

import (
	"context"
	"time"

	"limpetrail/kernel"
)

const (
	// fleetCommitRate and fleetSaveRate are how often per second all processes of the
	// fleet together commit results and save partial output.
	fleetCommitRate = 15
	fleetSaveRate   = 10
	// maxCommitInterval is short compared with the time until jobs are due.
	maxCommitInterval = 2500 * time.Millisecond
	// maxSaveInterval bounds the progress on each item that is lost if the process dies.
	maxSaveInterval = 4 * time.Second
	// dueMargin is how long before a job is due its results have to be committed, so
	// that a reader that polls twice a second sees them in time.
	dueMargin = time.Second
)

// waitForMoreResults waits for further items to finish, so that one call commits all
// of them. It returns early if a result would become late.
func (batcher *Batcher) waitForMoreResults(ctx context.Context) {
	deadline := time.Now().Add(kernel.FleetPause(batcher.Settings.CommitInterval, maxCommitInterval, batcher.fleetSize(), fleetCommitRate))

	for kernel.Pause(ctx, batcher.Settings.CommitInterval) {
		if remaining := time.Until(deadline); remaining <= 0 || batcher.isCommitDue(remaining) {
			return
		}
	}
}

// isCommitDue tells whether uncommitted results are too large for one transaction, or
// would become late if they waited that much longer.
func (batcher *Batcher) isCommitDue(wait time.Duration) bool {
	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()

	size := 0

	for _, active := range batcher.active {
		if len(active.uncommitted) == 0 {
			continue
		}

		remaining := time.Until(active.job.Due)
		if remaining > 0 && remaining < wait+dueMargin {
			return true
		}

		for _, result := range active.uncommitted {
			size += len(result.Output)
		}
	}

	return size > maxCommitBytes
}

// saveDelay is how long to wait until the next save of partial output.
func (batcher *Batcher) saveDelay() time.Duration {
	return kernel.FleetPause(saveInterval, maxSaveInterval, batcher.fleetSize(), fleetSaveRate)
}

// fleetSize is the number of registered processes.
func (batcher *Batcher) fleetSize() int {
	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()

	return len(batcher.members)
}
