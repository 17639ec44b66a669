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

// commitTries bounds the tries of one commit that others race.
const commitTries = 4

// segmentBytes is the target size of a results segment before compression.
const segmentBytes = 2 << 20

// group is what one commit adds to a record.
type group struct {
	results   []Result
	starting  []int
	unstarted []int
	// finishing ends the job.
	finishing bool
}

// commit writes the buffered results and the starting items to the record.
// Without an error all of it is recorded, by this entry under its epoch.
func (scheduler *Scheduler) commit(ctx context.Context, job *job, starting []int) error {
	job.committing <- struct{}{}
	defer func() { <-job.committing }()

	for range commitTries {
		done, err := scheduler.tryCommit(ctx, job, starting)
		if done || err != nil {
			return errors.Trace(err)
		}
	}

	return errors.Errorf("job %s: too many writers", job.id)
}

func (scheduler *Scheduler) tryCommit(ctx context.Context, job *job, starting []int) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, scheduler.Settings.CallLimit)
	defer cancel()

	scheduler.mutex.Lock()
	added := group{
		results:   job.buffer[:len(job.buffer):len(job.buffer)],
		starting:  starting,
		unstarted: job.unstarted[:len(job.unstarted):len(job.unstarted)],
		finishing: job.complete() && len(starting) == 0,
	}
	record, revision, lost, cancelling := job.record, job.revision, job.lost, job.cancelling
	scheduler.mutex.Unlock()

	if lost || (cancelling && len(starting) > 0) {
		return false, errors.Forbiddenf("job %s: hand-out after its owner or state changed", record.ID)
	}

	next, err := scheduler.next(ctx, record, added)
	if err != nil {
		return false, errors.Trace(err)
	}

	entry, applied, err := scheduler.write(ctx, next, revision)
	if err != nil {
		return false, errors.Trace(err)
	}

	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()

	if applied != keeper.WriteApplied {
		scheduler.meet(job, decode[Record](entry.Value), entry.Revision)

		return false, nil
	}

	scheduler.committed(job, present(next, entry), entry.Revision, added)

	return true, nil
}

// next builds the record that a commit proposes.
func (scheduler *Scheduler) next(ctx context.Context, record Record, added group) (Record, error) {
	next := record.Clone()
	next.Writer = NewMark()

	if len(added.starting) > 0 && next.Started == nil {
		next.Started = NewBitmap(next.Items)
	}

	for _, index := range added.unstarted {
		next.Started.Clear(index)
	}

	for _, index := range added.starting {
		next.Started.Set(index)
	}

	fresh := []Result{}

	for _, result := range added.results {
		if next.Done.Has(result.Index) {
			continue
		}

		next.Done.Set(result.Index)
		next.Counts.Add(result.Fate)

		fresh = append(fresh, result)
	}

	if err := scheduler.append(ctx, &next, fresh); err != nil {
		return Record{}, errors.Trace(err)
	}

	if added.finishing {
		next.State = Completed
		next.Ended = time.Now()

		if missing := next.Items - next.Counts.recorded(); missing > 0 {
			next.State = Cancelled
			next.Counts.Cancelled = missing
		}
	}

	return next, nil
}

// append adds results to the inline tail, and moves the tail into segments
// when it has grown.
func (scheduler *Scheduler) append(ctx context.Context, next *Record, fresh []Result) error {
	if len(fresh) == 0 {
		return nil
	}

	tail := []byte{}

	if len(next.Inline) > 0 {
		earlier, err := archiver.Decompress(next.Inline)
		if err != nil {
			return errors.Trace(err)
		}

		tail = earlier
	}

	tail = append(tail, encodeResults(fresh)...)

	inline := archiver.Compress(tail)
	if len(inline) <= scheduler.Settings.InlineBytes && len(tail) <= segmentBytes {
		next.Inline = inline

		return nil
	}

	for len(tail) > 0 {
		part := cutLines(tail, segmentBytes)
		tail = tail[len(part):]

		name, err := scheduler.Bulk.Put(ctx, JobKey(next.ID), part)
		if err != nil {
			return errors.Annotatef(err, "job %s: results", next.ID)
		}

		next.Segments = append(next.Segments, Segment{Name: name, Items: bytes.Count(part, []byte("\n"))})
	}

	next.Inline = nil

	return nil
}

// cutLines returns the leading whole lines of about that size, at least one.
func cutLines(lines []byte, size int) []byte {
	if len(lines) <= size {
		return lines
	}

	if end := bytes.LastIndexByte(lines[:size], '\n'); end >= 0 {
		return lines[:end+1]
	}

	return lines[:bytes.IndexByte(lines, '\n')+1]
}

// write proposes a record and settles a lost answer by its mark.
func (scheduler *Scheduler) write(ctx context.Context, next Record, revision keeper.Revision) (keeper.Entry, keeper.Applied, error) {
	return keeper.Write(ctx, scheduler.Ledger.Store, keeper.Proposal{
		Key:      JobKey(next.ID),
		Revision: revision,
		Value:    encode(next),
		Mine:     func(value []byte) bool { return decode[Record](value).Writer == next.Writer },
	})
}

// present returns the record as it is after a write: a write that was settled
// after a lost answer may have a cancellation on top of it.
func present(written Record, entry keeper.Entry) Record {
	if len(entry.Value) == 0 {
		return written
	}

	return decode[Record](entry.Value)
}

// committed takes a successful commit into the job, with the mutex held.
func (scheduler *Scheduler) committed(job *job, next Record, revision keeper.Revision, added group) {
	job.record = next
	job.revision = revision
	job.cancelling = job.cancelling || next.State == Cancelling
	job.buffer = append([]Result{}, job.buffer[len(added.results):]...)
	job.unstarted = append([]int{}, job.unstarted[len(added.unstarted):]...)
	job.oldest = time.Now()

	for _, result := range added.results {
		delete(job.pending, result.Index)
	}

	scheduler.Metrics.Counter("commits").Inc(1)
	scheduler.event(recorder.KindCommitted, next.ID, "Results="+number(len(added.results)), "State="+string(next.State))

	if next.State.Ended() {
		scheduler.end(next)
		scheduler.drop(next.ID, job)
	}
}
