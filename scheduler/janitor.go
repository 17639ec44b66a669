package scheduler

import (
	"context"
	"time"

	"github.com/juju/errors"

	"limpetrail/archiver"
	"limpetrail/keeper"
)

const (
	// repairInterval is how often the number of copies of each segment is checked.
	repairInterval = time.Hour
	// collectInterval is how often unreferenced segments are removed.
	collectInterval = time.Hour
	// collectGrace is the age below which unreferenced segments are kept:
	// longer than an upload or a commit takes, as a segment is stored before
	// the record that references it.
	collectGrace = 24 * time.Hour
)

// Janitor maintains the stored segments of jobs and files: it restores copies
// that were lost with their holders, and removes segments that no record
// references.
type Janitor struct {
	Scheduler *Scheduler
	// Folder is nil at an instance without a disk.
	Folder *archiver.Folder
}

// NewJanitor returns a janitor for the jobs in the shards that the scheduler
// owns, and for the segments in the folder.
func NewJanitor(scheduler *Scheduler, folder *archiver.Folder) *Janitor {
	return &Janitor{Scheduler: scheduler, Folder: folder}
}

// Run calls Repair and Collect periodically until the context ends.
func (janitor *Janitor) Run(ctx context.Context) {
	ctx = keeper.WithPriority(ctx, keeper.PriorityBackground)

	repair := time.NewTicker(repairInterval)
	defer repair.Stop()

	collect := time.NewTicker(collectInterval)
	defer collect.Stop()

	for {
		select {
		case <-repair.C:
			janitor.Repair(ctx)
		case <-collect.C:
			janitor.Collect(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// Collect removes segments of the folder that no record references.
func (janitor *Janitor) Collect(ctx context.Context) {
	if janitor.Folder == nil {
		return
	}

	scheduler := janitor.Scheduler
	removed, err := janitor.Folder.RemoveUnreferenced(collectGrace, func(owner, name string) (bool, error) {
		ctx, cancel := context.WithTimeout(ctx, scheduler.Settings.CallLimit)
		defer cancel()

		return scheduler.Ledger.ReferencesSegment(ctx, owner, name)
	})

	if err != nil || removed > 0 {
		scheduler.Log.WithError(err).WithField("Removed", removed).Info("Finished removing unreferenced segments from the disk.")
	}
}

// Repair makes sure that each segment of each job in the shards that this entry
// owns has enough copies.
func (janitor *Janitor) Repair(ctx context.Context) {
	scheduler := janitor.Scheduler

	for _, shard := range scheduler.shards {
		scheduler.mutex.Lock()
		owned := time.Now().Before(shard.leaseEnd)
		scheduler.mutex.Unlock()

		if !owned {
			continue
		}

		index, _, err := readValue[Index](ctx, scheduler.Ledger.Store, shardKey(shard.number))
		if err != nil {
			continue
		}

		for _, indexEntry := range index.Jobs {
			if err := janitor.repairJob(ctx, indexEntry.ID); err != nil && !errors.Is(err, errors.NotFound) {
				scheduler.Log.WithError(err).WithField("JobID", indexEntry.ID).Warn("Failed to check or restore the copies of a job's segments.")
			}
		}
	}
}

func (janitor *Janitor) repairJob(ctx context.Context, id string) error {
	scheduler := janitor.Scheduler

	record, _, err := scheduler.Ledger.Job(ctx, id)
	if err != nil {
		return errors.Trace(err)
	}

	for _, segment := range record.Segments {
		if err := scheduler.SegmentStore.Repair(ctx, segment.Name, JobKey(id)); err != nil {
			return errors.Trace(err)
		}
	}

	file, err := scheduler.Ledger.File(ctx, record.FileID)
	if err != nil {
		return errors.Trace(err)
	}

	for _, segment := range file.Segments {
		if err := scheduler.SegmentStore.Repair(ctx, segment.Name, FileKey(file.ID)); err != nil {
			return errors.Trace(err)
		}
	}

	return nil
}
