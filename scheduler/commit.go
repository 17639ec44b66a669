package scheduler

import (
	"bytes"
	"context"
	"time"

	"github.com/juju/errors"

	"limpetrail/archiver"
	"limpetrail/keeper"
	"limpetrail/recorder"
)

// maxCommitAttempts bounds the attempts of one commit when other writers change
// the record concurrently.
const maxCommitAttempts = 4

// targetSegmentBytes is the target size of a results segment before compression.
const targetSegmentBytes = 2 << 20

// commitGroup is the set of changes that one commit makes to a job's record.
type commitGroup struct {
	results []Result
	// starting are non-idempotent items about to be sent to a sidecar.
	starting []int
	// notStarted are items to remove from the record's Started, as they did not
	// run.
	notStarted []int
	// endsJob is set when this commit ends the job.
	endsJob bool
}

// commit writes the buffered results and the starting items to the record.
// It returns nil only once all of them are committed under this entry's epoch.
func (scheduler *Scheduler) commit(ctx context.Context, job *job, starting []int) error {
	job.committing <- struct{}{}
	defer func() { <-job.committing }()

	for range maxCommitAttempts {
		committed, err := scheduler.tryCommit(ctx, job, starting)
		if committed || err != nil {
			return errors.Trace(err)
		}
	}

	return errors.Errorf("job %s: too many writers", job.id)
}

// tryCommit makes one attempt of a commit. It returns false without an error when
// another process changed the record first.
func (scheduler *Scheduler) tryCommit(ctx context.Context, job *job, starting []int) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, scheduler.Settings.CallLimit)
	defer cancel()

	scheduler.mutex.Lock()
	group := commitGroup{
		results:    job.buffer[:len(job.buffer):len(job.buffer)],
		starting:   starting,
		notStarted: job.notStarted[:len(job.notStarted):len(job.notStarted)],
		endsJob:    job.isComplete() && len(starting) == 0,
	}
	record, revision, released, cancelling := job.record, job.revision, job.released, job.cancelling
	scheduler.mutex.Unlock()

	if released || (cancelling && len(starting) > 0) {
		return false, errors.Forbiddenf("job %s: hand-out after its owner or state changed", record.ID)
	}

	newRecord, err := scheduler.newRecord(ctx, record, group)
	if err != nil {
		return false, errors.Trace(err)
	}

	entry, outcome, err := scheduler.writeRecord(ctx, newRecord, revision)
	if err != nil {
		return false, errors.Trace(err)
	}

	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()

	if outcome != keeper.WriteApplied {
		scheduler.applyForeignRecord(job, decode[Record](entry.Value), entry.Revision)

		return false, nil
	}

	scheduler.applyCommit(job, recordAfterWrite(newRecord, entry), entry.Revision, group)

	return true, nil
}

// newRecord returns the record with the group's changes. Results of items that
// have one already are left out.
func (scheduler *Scheduler) newRecord(ctx context.Context, record Record, group commitGroup) (Record, error) {
	newRecord := record.Clone()
	newRecord.Writer = NewUniqueID()

	if len(group.starting) > 0 && newRecord.Started == nil {
		newRecord.Started = NewBitmap(newRecord.Items)
	}

	for _, index := range group.notStarted {
		newRecord.Started.Clear(index)
	}

	for _, index := range group.starting {
		newRecord.Started.Set(index)
	}

	newResults := []Result{}

	for _, result := range group.results {
		if newRecord.Done.Has(result.Index) {
			continue
		}

		newRecord.Done.Set(result.Index)
		newRecord.Counts.Add(result.Fate)

		newResults = append(newResults, result)
	}

	if err := scheduler.appendResults(ctx, &newRecord, newResults); err != nil {
		return Record{}, errors.Trace(err)
	}

	if group.endsJob {
		newRecord.State = Completed
		newRecord.Ended = time.Now()

		if missing := newRecord.Items - newRecord.Counts.total(); missing > 0 {
			newRecord.State = Cancelled
			newRecord.Counts.Cancelled = missing
		}
	}

	return newRecord, nil
}

// appendResults adds results to those stored inline in the record. When these
// exceed InlineBytes or the segment size, it moves them into segments.
func (scheduler *Scheduler) appendResults(ctx context.Context, next *Record, newResults []Result) error {
	if len(newResults) == 0 {
		return nil
	}

	tail := []byte{}

	if len(next.Inline) > 0 {
		stored, err := archiver.Decompress(next.Inline)
		if err != nil {
			return errors.Trace(err)
		}

		tail = stored
	}

	tail = append(tail, encodeResults(newResults)...)

	inline := archiver.Compress(tail)
	if len(inline) <= scheduler.Settings.InlineBytes && len(tail) <= targetSegmentBytes {
		next.Inline = inline

		return nil
	}

	for len(tail) > 0 {
		segment := cutLines(tail, targetSegmentBytes)
		tail = tail[len(segment):]

		name, err := scheduler.SegmentStore.Put(ctx, JobKey(next.ID), segment)
		if err != nil {
			return errors.Annotatef(err, "job %s: results", next.ID)
		}

		next.Segments = append(next.Segments, Segment{Name: name, Items: bytes.Count(segment, []byte("\n"))})
	}

	next.Inline = nil

	return nil
}

// cutLines returns the leading whole lines that fit the size, and at least one
// line.
func cutLines(lines []byte, size int) []byte {
	if len(lines) <= size {
		return lines
	}

	if end := bytes.LastIndexByte(lines[:size], '\n'); end >= 0 {
		return lines[:end+1]
	}

	return lines[:bytes.IndexByte(lines, '\n')+1]
}

// writeRecord writes a record by compare-and-swap. When the answer is lost, it
// finds out by the record's unique Writer whether the write was applied.
func (scheduler *Scheduler) writeRecord(ctx context.Context, next Record, revision keeper.Revision) (keeper.Entry, keeper.WriteOutcome, error) {
	return keeper.WriteWithRetry(ctx, scheduler.Ledger.Store, keeper.ConditionalWrite{
		Key:        JobKey(next.ID),
		Revision:   revision,
		Value:      encode(next),
		IsOwnWrite: func(value []byte) bool { return decode[Record](value).Writer == next.Writer },
	})
}

// recordAfterWrite returns the stored record after a successful write. When the
// answer of the write was lost, the record may contain a later cancellation too.
func recordAfterWrite(written Record, entry keeper.Entry) Record {
	if len(entry.Value) == 0 {
		return written
	}

	return decode[Record](entry.Value)
}

// applyCommit updates the job in memory after a successful commit. The caller
// holds the mutex.
func (scheduler *Scheduler) applyCommit(job *job, next Record, revision keeper.Revision, group commitGroup) {
	job.record = next
	job.revision = revision
	job.cancelling = job.cancelling || next.State == Cancelling
	job.buffer = append([]Result{}, job.buffer[len(group.results):]...)
	job.notStarted = append([]int{}, job.notStarted[len(group.notStarted):]...)
	job.bufferedSince = time.Now()

	for _, result := range group.results {
		delete(job.buffered, result.Index)
	}

	scheduler.Metrics.Counter("commits").Inc(1)
	scheduler.recordEvent(recorder.KindCommitted, next.ID, "Results="+itoa(len(group.results)), "State="+string(next.State))

	if next.State.Ended() {
		scheduler.rememberEnd(next)
		scheduler.releaseJob(next.ID, job)
	}
}
