package scheduler

import (
	"context"
	"time"

	"github.com/juju/errors"

	"limpetrail/keeper"
	"limpetrail/recorder"
)

// takeOver makes this entry the owner of a job: it writes its epoch into the
// record, after which the commits of all earlier owners are refused.
func (scheduler *Scheduler) takeOver(ctx context.Context, shard *shard, indexEntry IndexEntry) error {
	ctx, cancel := context.WithTimeout(ctx, scheduler.Settings.CallLimit)
	defer cancel()

	record, revision, err := scheduler.Ledger.Job(ctx, indexEntry.ID)
	if errors.Is(err, errors.NotFound) {
		return scheduler.handleMissingRecord(ctx, shard, indexEntry, revision)
	}

	if err != nil {
		return errors.Trace(err)
	}

	if record.State.Ended() {
		return scheduler.markIndexEntryEnded(ctx, record)
	}

	if record.Epoch > shard.fence {
		return errors.Errorf("job %s: the record has a later epoch than the lease", record.ID)
	}

	job := newJob(shard, record, revision)

	if err := scheduler.writeEpoch(ctx, job); err != nil {
		return errors.Trace(err)
	}

	// The file record is cached now, so that the items can be read during a later
	// outage of the key-value service.
	if _, err := scheduler.fileRecord(ctx, record.FileID); err != nil {
		scheduler.Log.WithError(err).WithField("JobID", record.ID).Warn("Failed to read the file record of a job that was taken over; retrying when items are handed out.")
	}

	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()

	delete(shard.missingSince, indexEntry.Mark)
	scheduler.awaitStarted(job)
	scheduler.mergeEarlierEpoch(job)
	scheduler.jobs[record.ID] = job
	scheduler.recordEvent(recorder.KindTakenOver, record.ID, "Epoch="+itoa(int(job.epoch)))

	return nil
}

// writeEpoch writes this entry and its epoch into the record of the job. It
// fails if the job has ended or has a later owner.
func (scheduler *Scheduler) writeEpoch(ctx context.Context, job *job) error {
	for range maxWriteAttempts {
		next := job.record.Clone()
		next.Epoch = job.epoch
		next.Owner = scheduler.Instance
		next.Writer = NewUniqueID()

		entry, outcome, err := scheduler.writeRecord(ctx, next, job.revision)
		if err != nil {
			return errors.Trace(err)
		}

		if outcome == keeper.WriteApplied {
			job.record = recordAfterWrite(next, entry)
			job.revision = entry.Revision
			job.cancelling = job.record.State == Cancelling

			return nil
		}

		stored := decode[Record](entry.Value)
		if stored.Epoch > job.epoch || stored.State.Ended() {
			return errors.Errorf("job %s: ended or taken over by a later owner", job.id)
		}

		job.mergeRecord(stored, entry.Revision)
	}

	return errors.Errorf("job %s: too many writers", job.id)
}

// awaitStarted makes the job wait for the answers of non-idempotent items that an
// earlier owner handed out. They are never handed out again.
func (scheduler *Scheduler) awaitStarted(job *job) {
	deadline := time.Now().Add(scheduler.Settings.StartedGrace)

	for index := range job.record.Items {
		if job.record.Started.Has(index) && !job.record.Done.Has(index) {
			job.assign(index, "", deadline)
		}
	}
}

// mergeEarlierEpoch takes the uncommitted results and assignments from this
// entry's earlier epoch, whose lease expired in an outage while no other entry
// took the job over. Results that the record already contains are dropped. The
// caller holds the mutex.
func (scheduler *Scheduler) mergeEarlierEpoch(job *job) {
	earlier, found := scheduler.jobs[job.id]
	if !found {
		return
	}

	now := time.Now()
	earlier.released = true

	for _, result := range earlier.buffer {
		job.bufferResult(now, result)
	}

	for index, assigned := range earlier.assignments {
		if !job.hasResult(index) && job.assignments[index] == nil {
			job.assignments[index] = assigned
		}
	}

	job.retries, job.failures, job.confirmedFailures = earlier.retries, earlier.failures, earlier.confirmedFailures
	job.suspects = earlier.suspects

	// nextIndex restarts at 0 and so covers requeued items again. Suspects have
	// to be assigned, so that they are not handed out a second time.
	for _, suspect := range job.suspects {
		job.assign(suspect.index, "", now)
	}
}

// handleMissingRecord handles an index entry that has no record. After IndexGrace
// it first marks the record as expired, so that a delayed creation is refused and
// starts over, and then removes the entry, unless it was written again meanwhile.
func (scheduler *Scheduler) handleMissingRecord(ctx context.Context, shard *shard, indexEntry IndexEntry, revision keeper.Revision) error {
	scheduler.mutex.Lock()
	since, known := shard.missingSince[indexEntry.Mark]

	if !known {
		shard.missingSince[indexEntry.Mark] = time.Now()
	}
	scheduler.mutex.Unlock()

	if !known || time.Since(since) < scheduler.Settings.IndexGrace {
		return nil
	}

	expired, err := scheduler.Ledger.markExpired(ctx, indexEntry.ID, revision)
	if err != nil || !expired {
		return errors.Trace(err)
	}

	if err := scheduler.removeIndexEntry(ctx, shard, indexEntry); err != nil {
		return errors.Trace(err)
	}

	scheduler.mutex.Lock()
	delete(shard.missingSince, indexEntry.Mark)
	scheduler.mutex.Unlock()

	return nil
}

// removeIndexEntry removes an index entry unless it was written again meanwhile.
func (scheduler *Scheduler) removeIndexEntry(ctx context.Context, shard *shard, indexEntry IndexEntry) error {
	return scheduler.Ledger.editIndex(ctx, shard.number, func(index Index) Index {
		for _, entry := range index.Jobs {
			if entry.ID == indexEntry.ID && entry.Mark == indexEntry.Mark {
				return index.Without(indexEntry.ID)
			}
		}

		return index
	})
}

// markIndexEntryEnded writes the end time of a job into its index entry.
func (scheduler *Scheduler) markIndexEntryEnded(ctx context.Context, record Record) error {
	return scheduler.Ledger.writeIndexEntry(ctx, IndexEntry{ID: record.ID, Firm: record.Firm, Mark: NewUniqueID(), Ended: record.Ended})
}

// removeExpiredJob removes a job that ended longer ago than Settings.Retain.
func (scheduler *Scheduler) removeExpiredJob(ctx context.Context, shard *shard, indexEntry IndexEntry) error {
	if time.Since(indexEntry.Ended) < scheduler.Settings.Retain {
		return nil
	}

	_, revision, err := scheduler.Ledger.Job(ctx, indexEntry.ID)
	if err != nil && !errors.Is(err, errors.NotFound) {
		return errors.Trace(err)
	}

	if err == nil {
		if expired, err := scheduler.Ledger.markExpired(ctx, indexEntry.ID, revision); err != nil || !expired {
			return errors.Trace(err)
		}
	}

	return scheduler.removeIndexEntry(ctx, shard, indexEntry)
}

// reloadRecord reads the record of an owned job and merges changes that other
// processes made.
func (scheduler *Scheduler) reloadRecord(ctx context.Context, job *job) error {
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
		scheduler.applyForeignRecord(job, record, revision)
	}

	return nil
}

// applyForeignRecord merges a record that another process wrote, or releases the
// job if it ended or has a later owner. The caller holds the mutex.
func (scheduler *Scheduler) applyForeignRecord(job *job, record Record, revision keeper.Revision) {
	if record.Epoch > job.epoch || record.State.Ended() {
		scheduler.releaseJob(job.id, job)

		return
	}

	job.mergeRecord(record, revision)
}
