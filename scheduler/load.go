package scheduler

import (
	"context"
	"time"

	"github.com/juju/errors"

	"limpetrail/keeper"
	"limpetrail/recorder"
)

// load takes over a job: it writes the epoch into the record, after which the
// commits of every earlier owner are refused.
func (scheduler *Scheduler) load(ctx context.Context, shard *shard, listed IndexEntry) error {
	ctx, cancel := context.WithTimeout(ctx, scheduler.Settings.CallLimit)
	defer cancel()

	record, revision, err := scheduler.Ledger.Job(ctx, listed.ID)
	if errors.Is(err, errors.NotFound) {
		return scheduler.absent(ctx, shard, listed, revision)
	}

	if err != nil {
		return errors.Trace(err)
	}

	if record.State.Ended() {
		return scheduler.unlist(ctx, record)
	}

	if record.Epoch > shard.fence {
		return errors.Errorf("job %s has a later owner", record.ID)
	}

	job := newJob(shard, record, revision)

	if err := scheduler.claim(ctx, job); err != nil {
		return errors.Trace(err)
	}

	// An outage that begins later must not keep the items from being found.
	if _, err := scheduler.file(ctx, record.FileID); err != nil {
		scheduler.Log.WithError(err).WithField("JobID", record.ID).Warn("A job's file is not known yet.")
	}

	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()

	delete(shard.missing, listed.Mark)
	scheduler.adoptStarted(job)
	scheduler.inherit(job)
	scheduler.jobs[record.ID] = job
	scheduler.event(recorder.KindTakenOver, record.ID, "Epoch="+number(int(job.epoch)))

	return nil
}

// claim writes the job's epoch.
func (scheduler *Scheduler) claim(ctx context.Context, job *job) error {
	for range swapAttempts {
		next := job.record.Clone()
		next.Epoch = job.epoch
		next.Owner = scheduler.Instance
		next.Writer = NewMark()

		entry, applied, err := scheduler.write(ctx, next, job.revision)
		if err != nil {
			return errors.Trace(err)
		}

		if applied == keeper.WriteApplied {
			job.record = present(next, entry)
			job.revision = entry.Revision
			job.cancelling = job.record.State == Cancelling

			return nil
		}

		theirs := decode[Record](entry.Value)
		if theirs.Epoch > job.epoch || theirs.State.Ended() {
			return errors.Errorf("job %s changed hands", job.id)
		}

		job.adopt(theirs, entry.Revision)
	}

	return errors.Errorf("job %s: too many writers", job.id)
}

// adoptStarted waits for the answers of non-idempotent items that an earlier
// owner let start. They are never handed out again.
func (scheduler *Scheduler) adoptStarted(job *job) {
	until := time.Now().Add(scheduler.Settings.StartedGrace)

	for index := range job.record.Items {
		if job.record.Started.Has(index) && !job.record.Done.Has(index) {
			job.hand(index, "", until)
		}
	}
}

// inherit keeps the uncommitted results of the same entry's earlier epoch: its
// lease lapsed in an outage and nobody else took the job. What the record
// holds by now is dropped.
func (scheduler *Scheduler) inherit(job *job) {
	earlier, found := scheduler.jobs[job.id]
	if !found {
		return
	}

	now := time.Now()
	earlier.lost = true

	for _, result := range earlier.buffer {
		job.finish(now, result)
	}

	for index, handed := range earlier.handed {
		if !job.settled(index) && job.handed[index] == nil {
			job.handed[index] = handed
		}
	}

	job.tries, job.breaks, job.proven = earlier.tries, earlier.breaks, earlier.proven
	job.suspects = earlier.suspects

	// Suspects and requeued items lie below the cursor; the cursor starts
	// anew, so only suspects need to be kept out of its way.
	for _, suspect := range job.suspects {
		job.hand(suspect.index, "", now)
	}
}

// absent deals with an index entry that has no record. After a grace period
// the record is barred first, so that a delayed creation starts over, and then
// the entry is removed, unless it was written again meanwhile.
func (scheduler *Scheduler) absent(ctx context.Context, shard *shard, listed IndexEntry, revision keeper.Revision) error {
	scheduler.mutex.Lock()
	since, known := shard.missing[listed.Mark]

	if !known {
		shard.missing[listed.Mark] = time.Now()
	}
	scheduler.mutex.Unlock()

	if !known || time.Since(since) < scheduler.Settings.IndexGrace {
		return nil
	}

	barred, err := scheduler.Ledger.expire(ctx, listed.ID, revision)
	if err != nil || !barred {
		return errors.Trace(err)
	}

	if err := scheduler.removeEntry(ctx, shard, listed); err != nil {
		return errors.Trace(err)
	}

	scheduler.mutex.Lock()
	delete(shard.missing, listed.Mark)
	scheduler.mutex.Unlock()

	return nil
}

// removeEntry removes an index entry unless it was written again.
func (scheduler *Scheduler) removeEntry(ctx context.Context, shard *shard, listed IndexEntry) error {
	return scheduler.Ledger.editIndex(ctx, shard.number, func(index Index) Index {
		for _, entry := range index.Jobs {
			if entry.ID == listed.ID && entry.Mark == listed.Mark {
				return index.Without(listed.ID)
			}
		}

		return index
	})
}

// unlist marks the index entry of an ended job.
func (scheduler *Scheduler) unlist(ctx context.Context, record Record) error {
	return scheduler.Ledger.index(ctx, IndexEntry{ID: record.ID, Firm: record.Firm, Mark: NewMark(), Ended: record.Ended})
}

// forget removes a job that ended longer ago than jobs are kept.
func (scheduler *Scheduler) forget(ctx context.Context, shard *shard, listed IndexEntry) error {
	if time.Since(listed.Ended) < scheduler.Settings.Retain {
		return nil
	}

	_, revision, err := scheduler.Ledger.Job(ctx, listed.ID)
	if err != nil && !errors.Is(err, errors.NotFound) {
		return errors.Trace(err)
	}

	if err == nil {
		if expired, err := scheduler.Ledger.expire(ctx, listed.ID, revision); err != nil || !expired {
			return errors.Trace(err)
		}
	}

	return scheduler.removeEntry(ctx, shard, listed)
}

// reload takes in what others wrote to the record of an owned job.
func (scheduler *Scheduler) reload(ctx context.Context, job *job) error {
	ctx, cancel := context.WithTimeout(ctx, scheduler.Settings.CallLimit)
	defer cancel()

	record, revision, err := scheduler.Ledger.Job(ctx, job.id)
	if err != nil {
		return errors.Trace(err)
	}

	job.committing <- struct{}{}
	defer func() { <-job.committing }()

	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()

	if revision > job.revision {
		scheduler.meet(job, record, revision)
	}

	return nil
}

// meet adopts another's record, or gives the job up to a later owner, with the
// mutex held.
func (scheduler *Scheduler) meet(job *job, record Record, revision keeper.Revision) {
	if record.Epoch > job.epoch || record.State.Ended() {
		scheduler.drop(job.id, job)

		return
	}

	job.adopt(record, revision)
}
