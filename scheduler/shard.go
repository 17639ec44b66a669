package scheduler

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"limpetrail/keeper"
	"limpetrail/recorder"
)

// sweepInterval is how often unchanged index entries are looked at, to forget
// jobs that ended long ago.
const sweepInterval = 10 * time.Minute

// missingPause is the time between two looks for the record of an index entry.
const missingPause = time.Second

// shard is one index record and the lease on its jobs.
type shard struct {
	number int
	// fence is the lease's fencing number while this entry owns the shard;
	// 0 when it does not.
	fence uint64
	// until is when the lease ends, by this process's monotonic clock.
	until time.Time
	// failed is when a renewal last began that got no answer.
	failed time.Time
	// swept is when every entry of the index was last looked at.
	swept time.Time
	// revision of the index that was taken in.
	revision keeper.Revision
	// missing holds when an index entry was first seen without a record.
	missing map[string]time.Time
}

// mayHandOut tells whether the lease holds, or the service gave no answer
// since it ended: idempotent work then goes on, as nobody else can own the
// shard without the service.
func (shard *shard) mayHandOut(now time.Time) bool {
	return shard.fence != 0 && (now.Before(shard.until) || shard.failed.After(shard.until))
}

// tend owns one shard whenever it can, until the context ends.
func (scheduler *Scheduler) tend(ctx context.Context, shard *shard) {
	// The first calls of a process are spread over one interval, and a
	// lower-ranked entry leaves the others time to be first.
	scheduler.pause(ctx, scheduler.Settings.Renew*time.Duration(shard.number)/time.Duration(len(scheduler.shards)))
	scheduler.pause(ctx, time.Duration(scheduler.Rank(shard.number))*scheduler.Settings.Lease)

	for ctx.Err() == nil {
		wait := scheduler.round(ctx, shard)
		scheduler.pause(ctx, wait)
	}
}

// round renews the lease and takes in changes of the index. It returns how
// long to wait before the next.
func (scheduler *Scheduler) round(ctx context.Context, shard *shard) time.Duration {
	began := time.Now()
	call, cancel := context.WithTimeout(ctx, scheduler.Settings.CallLimit)
	lease, err := scheduler.Ledger.Store.Acquire(call, leaseKey(shard.number), scheduler.Instance, scheduler.Settings.Lease)

	cancel()

	if err != nil {
		scheduler.mutex.Lock()
		shard.failed = began
		scheduler.mutex.Unlock()

		return jitter(scheduler.Settings.Renew / 2)
	}

	if !lease.Granted {
		scheduler.release(shard)

		return jitter(lease.Remaining + time.Duration(scheduler.Rank(shard.number))*scheduler.Settings.Lease)
	}

	scheduler.own(shard, lease.Fence, began)

	if err := scheduler.follow(ctx, shard); err != nil && ctx.Err() == nil {
		scheduler.Log.WithError(err).Warn("An index of jobs was not read.")

		return jitter(scheduler.Settings.Renew / 2)
	}

	return 0
}

// own notes a granted lease. A new fence means that another entry may have
// owned the shard meanwhile, so every job is read again.
func (scheduler *Scheduler) own(shard *shard, fence uint64, began time.Time) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()

	shard.until = began.Add(scheduler.Settings.Lease)

	if shard.fence == fence {
		return
	}

	shard.fence = fence
	shard.revision = 0
	scheduler.Recorder.Record(recorder.Event{Part: "scheduler", Kind: recorder.KindTakenOver, Details: []string{
		"Shard=" + number(shard.number), "Fence=" + number(int(fence)),
	}})
}

// release gives up the jobs of a shard that another entry owns.
func (scheduler *Scheduler) release(shard *shard) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()

	shard.fence = 0

	for id, job := range scheduler.jobs {
		if job.shard == shard {
			scheduler.drop(id, job)
		}
	}
}

// follow waits for a change of the index until the lease wants renewal.
func (scheduler *Scheduler) follow(ctx context.Context, shard *shard) error {
	limit := scheduler.Settings.Renew
	if len(shard.missing) > 0 {
		// A record follows its index entry within moments, and tells nobody.
		limit = min(limit, missingPause)
	}

	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()

	if time.Since(shard.swept) > sweepInterval {
		shard.revision = 0
		shard.swept = time.Now()
	}

	entry, err := scheduler.Ledger.Store.Watch(ctx, shardKey(shard.number), shard.revision)
	if err != nil && ctx.Err() == nil {
		return errors.Trace(err)
	}

	work := context.WithoutCancel(ctx)

	if err != nil && len(shard.missing) > 0 {
		entry, err = scheduler.Ledger.Store.Get(work, shardKey(shard.number))
	}

	if err != nil || (entry.Revision <= shard.revision && len(shard.missing) == 0) {
		return nil
	}

	whole := true

	for _, listed := range decode[Index](entry.Value).Jobs {
		if err := scheduler.sync(work, shard, listed); err != nil {
			scheduler.Log.WithError(err).WithField("JobID", listed.ID).Warn("A job was not taken in.")

			whole = false
		}
	}

	if whole {
		shard.revision = entry.Revision
	} else {
		scheduler.pause(ctx, jitter(time.Second))
	}

	return nil
}

// sync takes in one index entry.
func (scheduler *Scheduler) sync(ctx context.Context, shard *shard, listed IndexEntry) error {
	if !listed.Ended.IsZero() {
		return scheduler.forget(ctx, shard, listed)
	}

	scheduler.mutex.Lock()
	owned, found := scheduler.jobs[listed.ID]
	current := found && owned.epoch == shard.fence && !owned.lost
	scheduler.mutex.Unlock()

	if current && (!listed.Cancelling || owned.cancelling) {
		return nil
	}

	if current {
		return scheduler.reload(ctx, owned)
	}

	return scheduler.load(ctx, shard, listed)
}

func (scheduler *Scheduler) pause(ctx context.Context, duration time.Duration) {
	if duration <= 0 {
		return
	}

	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}

// jitter spreads a pause by half of it, so that entries don't act in step.
func jitter(pause time.Duration) time.Duration {
	return pause + time.Duration(rand.Int64N(int64(pause)/2+1))
}
