package scheduler

import (
	"context"
	"time"

	"github.com/juju/errors"

	"limpetrail/archiver"
	"limpetrail/keeper"
)

const (
	// repairInterval is how often the copies of segments are counted.
	repairInterval = time.Hour
	// collectInterval is how often unnamed segments are looked for.
	collectInterval = time.Hour
	// collectGrace is how long a segment may lie unnamed: longer than an
	// upload or a commit takes.
	collectGrace = 24 * time.Hour
)

// Janitor keeps the bulk data of jobs: it makes copies where holders were lost
// and removes what no record names.
type Janitor struct {
	Scheduler *Scheduler
	// Folder is nil at an instance without a disk.
	Folder *archiver.Folder
}

// NewJanitor returns the janitor of the jobs in the shards that the scheduler
// owns, and of the folder.
func NewJanitor(scheduler *Scheduler, folder *archiver.Folder) *Janitor {
	return &Janitor{Scheduler: scheduler, Folder: folder}
}

// Run repairs and collects until the context ends.
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

// Collect removes segments that no record names.
func (janitor *Janitor) Collect(ctx context.Context) {
	if janitor.Folder == nil {
		return
	}

	scheduler := janitor.Scheduler
	removed, err := janitor.Folder.Collect(collectGrace, func(owner, name string) (bool, error) {
		ctx, cancel := context.WithTimeout(ctx, scheduler.Settings.CallLimit)
		defer cancel()

		return scheduler.Ledger.Names(ctx, owner, name)
	})

	if err != nil || removed > 0 {
		scheduler.Log.WithError(err).WithField("Removed", removed).Info("Collected unnamed segments.")
	}
}

// Repair looks at each segment of each job in the shards that this entry owns.
func (janitor *Janitor) Repair(ctx context.Context) {
	scheduler := janitor.Scheduler

	for _, shard := range scheduler.shards {
		scheduler.mutex.Lock()
		owned := time.Now().Before(shard.until)
		scheduler.mutex.Unlock()

		if !owned {
			continue
		}

		index, _, err := read[Index](ctx, scheduler.Ledger.Store, shardKey(shard.number))
		if err != nil {
			continue
		}

		for _, listed := range index.Jobs {
			if err := janitor.repairJob(ctx, listed.ID); err != nil && !errors.Is(err, errors.NotFound) {
				scheduler.Log.WithError(err).WithField("JobID", listed.ID).Warn("Segments have too few holders.")
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
		if err := scheduler.Bulk.Repair(ctx, segment.Name, JobKey(id)); err != nil {
			return errors.Trace(err)
		}
	}

	file, err := scheduler.Ledger.File(ctx, record.FileID)
	if err != nil {
		return errors.Trace(err)
	}

	for _, segment := range file.Segments {
		if err := scheduler.Bulk.Repair(ctx, segment.Name, FileKey(file.ID)); err != nil {
			return errors.Trace(err)
		}
	}

	return nil
}
