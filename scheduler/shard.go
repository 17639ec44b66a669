package scheduler

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"limpetrail/keeper"
	"limpetrail/recorder"
)

// sweepInterval is how often all index entries are processed even if the index is
// unchanged, to remove jobs that ended longer ago than Settings.Retain.
const sweepInterval = 10 * time.Minute

// missingRecordInterval is the interval of the checks for the missing record of
// an index entry.
const missingRecordInterval = time.Second

// shard is one index record and the lease on its jobs.
type shard struct {
	number int
	// fence is the lease's fencing number while this entry owns the shard;
	// 0 when it does not.
	fence uint64
	// leaseEnd is when the lease expires, by this process's monotonic clock.
	leaseEnd time.Time
	// lastFailedRenewal is the start of the last renewal that got no answer.
	lastFailedRenewal time.Time
	// lastSweep is when all entries of the index were last processed regardless
	// of changes.
	lastSweep time.Time
	// revision is the last revision of the index that was applied completely.
	revision keeper.Revision
	// missingSince is when an index entry was first found without a record, by
	// the Mark of the entry.
	missingSince map[string]time.Time
}

// canHandOutIdempotent returns whether idempotent items may be handed out: while
// the lease is valid, or while the key-value service has not answered since it
// expired. During such an outage no other entry can acquire the shard either.
func (shard *shard) canHandOutIdempotent(now time.Time) bool {
	return shard.fence != 0 && (now.Before(shard.leaseEnd) || shard.lastFailedRenewal.After(shard.leaseEnd))
}

// runShard acquires and serves one shard whenever possible, until the context
// ends.
func (scheduler *Scheduler) runShard(ctx context.Context, shard *shard) {
	// The first calls of a process are spread over one interval, and an entry
	// with a higher rank number waits for the preferred entries to acquire the
	// lease first.
	scheduler.sleep(ctx, scheduler.Settings.Renew*time.Duration(shard.number)/time.Duration(len(scheduler.shards)))
	scheduler.sleep(ctx, time.Duration(scheduler.Rank(shard.number))*scheduler.Settings.Lease)

	for ctx.Err() == nil {
		wait := scheduler.renewAndFollow(ctx, shard)
		scheduler.sleep(ctx, wait)
	}
}

// renewAndFollow renews the lease and applies changes of the index until the next
// renewal. It returns how long to wait before the next call.
func (scheduler *Scheduler) renewAndFollow(ctx context.Context, shard *shard) time.Duration {
	started := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, scheduler.Settings.CallLimit)
	lease, err := scheduler.Ledger.Store.Acquire(callCtx, leaseKey(shard.number), scheduler.Instance, scheduler.Settings.Lease)

	cancel()

	if err != nil {
		scheduler.mutex.Lock()
		shard.lastFailedRenewal = started
		scheduler.mutex.Unlock()

		return jitter(scheduler.Settings.Renew / 2)
	}

	if !lease.Granted {
		scheduler.releaseShard(shard)

		return jitter(lease.Remaining + time.Duration(scheduler.Rank(shard.number))*scheduler.Settings.Lease)
	}

	scheduler.recordLease(shard, lease.Fence, started)

	if err := scheduler.followIndex(ctx, shard); err != nil && ctx.Err() == nil {
		scheduler.Log.WithError(err).Warn("Failed to watch the job index of a shard.")

		return jitter(scheduler.Settings.Renew / 2)
	}

	return 0
}

// recordLease stores a granted lease. A new fencing number means that another
// entry may have owned the shard meanwhile, so all jobs are loaded again.
func (scheduler *Scheduler) recordLease(shard *shard, fence uint64, started time.Time) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()

	shard.leaseEnd = started.Add(scheduler.Settings.Lease)

	if shard.fence == fence {
		return
	}

	shard.fence = fence
	shard.revision = 0
	scheduler.Recorder.Record(recorder.Event{Part: "scheduler", Kind: recorder.KindTakenOver, Details: []string{
		"Shard=" + itoa(shard.number), "Fence=" + itoa(int(fence)),
	}})
}

// releaseShard releases the jobs of a shard that another entry owns.
func (scheduler *Scheduler) releaseShard(shard *shard) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()

	shard.fence = 0

	for id, job := range scheduler.jobs {
		if job.shard == shard {
			scheduler.releaseJob(id, job)
		}
	}
}

// followIndex waits for a change of the index until the lease is due for renewal,
// and applies the change.
func (scheduler *Scheduler) followIndex(ctx context.Context, shard *shard) error {
	limit := scheduler.Settings.Renew
	if len(shard.missingSince) > 0 {
		// The record is usually written shortly after its index entry, which
		// does not change the index again.
		limit = min(limit, missingRecordInterval)
	}

	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()

	if time.Since(shard.lastSweep) > sweepInterval {
		shard.revision = 0
		shard.lastSweep = time.Now()
	}

	entry, err := scheduler.Ledger.Store.Watch(ctx, shardKey(shard.number), shard.revision)
	if err != nil && ctx.Err() == nil {
		return errors.Trace(err)
	}

	workCtx := context.WithoutCancel(ctx)

	if err != nil && len(shard.missingSince) > 0 {
		entry, err = scheduler.Ledger.Store.Get(workCtx, shardKey(shard.number))
	}

	if err != nil || (entry.Revision <= shard.revision && len(shard.missingSince) == 0) {
		return nil
	}

	allApplied := true

	for _, indexEntry := range decode[Index](entry.Value).Jobs {
		if err := scheduler.applyIndexEntry(workCtx, shard, indexEntry); err != nil {
			scheduler.Log.WithError(err).WithField("JobID", indexEntry.ID).Warn("Failed to process a job in the index of a shard.")

			allApplied = false
		}
	}

	if allApplied {
		shard.revision = entry.Revision
	} else {
		scheduler.sleep(ctx, jitter(time.Second))
	}

	return nil
}

// applyIndexEntry processes one index entry: it takes the job over, reloads a job
// that is being cancelled, or removes an ended job when it has expired.
func (scheduler *Scheduler) applyIndexEntry(ctx context.Context, shard *shard, indexEntry IndexEntry) error {
	if !indexEntry.Ended.IsZero() {
		return scheduler.removeExpiredJob(ctx, shard, indexEntry)
	}

	scheduler.mutex.Lock()
	owned, found := scheduler.jobs[indexEntry.ID]
	current := found && owned.epoch == shard.fence && !owned.released
	scheduler.mutex.Unlock()

	if current && (!indexEntry.Cancelling || owned.cancelling) {
		return nil
	}

	if current {
		return scheduler.reloadRecord(ctx, owned)
	}

	return scheduler.takeOver(ctx, shard, indexEntry)
}

// sleep waits for the duration or until the context ends.
func (scheduler *Scheduler) sleep(ctx context.Context, duration time.Duration) {
	if duration <= 0 {
		return
	}

	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}

// jitter lengthens a pause by a random part of up to half of it, so that entries
// don't act at the same time.
func jitter(pause time.Duration) time.Duration {
	return pause + time.Duration(rand.Int64N(int64(pause)/2+1))
}
