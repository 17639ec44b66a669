package scheduler

import (
	"slices"
	"time"

	"limpetrail/keeper"
)

// job is the state of a job that this entry owns. The scheduler's mutex guards
// its fields except committing and those that never change.
type job struct {
	// committing is a semaphore of size 1 that serialises the commits of the
	// job.
	committing chan struct{}

	// id, fileID and idempotent are copied from the record and never change.
	id         string
	fileID     string
	idempotent bool

	shard *shard
	// record is the last known stored record, and revision its revision.
	record   Record
	revision keeper.Revision
	// epoch is the fencing number under which this entry writes.
	epoch uint64
	// released is set once this entry has given the job up, or the job ended.
	released bool
	// cancelling is set once the job is to be cancelled; this entry may learn
	// of it before it has read the changed record.
	cancelling bool

	// nextIndex is the first item that was not handed out yet.
	nextIndex int
	// requeued are items to hand out again.
	requeued []int
	// suspects are items that were running when their engine failed; each runs
	// alone next.
	suspects []suspect
	// assignments are the items that are at sidecars, by index.
	assignments map[int]*assignment
	// retries counts, by item, the hand-outs after the first; failures the runs
	// that ended without an answer; confirmedFailures those of them that the
	// item itself caused.
	retries, failures, confirmedFailures map[int]int

	// buffer contains the uncommitted results, and buffered their indexes.
	buffer   []Result
	buffered map[int]bool
	// bufferedSince is when the oldest result in buffer was added.
	bufferedSince time.Time
	// notStarted are non-idempotent items that certainly did not run, but may
	// be recorded as started.
	notStarted []int
	// pausedUntil is when items may be handed out again.
	pausedUntil time.Time
	// retryCommitAfter is when a failed commit may be retried.
	retryCommitAfter time.Time
	// inputFailures counts consecutive reads of items for which no holder had
	// the input.
	inputFailures int
}

// assignment records that a sidecar has an item.
type assignment struct {
	// instance is the sidecar; empty when it is unknown or silent.
	instance string
	deadline time.Time
}

// suspect is an item that was running when its engine failed.
type suspect struct {
	index     int
	notBefore time.Time
}

func newJob(owner *shard, record Record, revision keeper.Revision) *job {
	return &job{
		committing:        make(chan struct{}, 1),
		id:                record.ID,
		fileID:            record.FileID,
		idempotent:        record.Idempotent,
		shard:             owner,
		record:            record,
		revision:          revision,
		epoch:             owner.fence,
		cancelling:        record.State == Cancelling,
		assignments:       map[int]*assignment{},
		retries:           map[int]int{},
		failures:          map[int]int{},
		confirmedFailures: map[int]int{},
		buffered:          map[int]bool{},
	}
}

// hasResult returns whether the item has a result, committed or not.
func (job *job) hasResult(index int) bool {
	return job.record.Done.Has(index) || job.buffered[index]
}

// assignNext assigns up to limit items to the sidecar and returns their indexes,
// or that of one suspect and true, when it has to run alone.
func (job *job) assignNext(now time.Time, instance string, limit int, lease time.Duration) ([]int, bool) {
	for position, suspect := range job.suspects {
		if now.Before(suspect.notBefore) {
			continue
		}

		job.suspects = slices.Delete(job.suspects, position, position+1)
		job.assign(suspect.index, instance, now.Add(lease))

		return []int{suspect.index}, true
	}

	assigned := []int{}

	for len(assigned) < limit && len(job.requeued) > 0 {
		index := job.requeued[0]
		job.requeued = job.requeued[1:]

		if !job.hasResult(index) {
			assigned = append(assigned, index)
		}
	}

	for ; len(assigned) < limit && job.nextIndex < job.record.Items; job.nextIndex++ {
		if !job.hasResult(job.nextIndex) && job.assignments[job.nextIndex] == nil {
			assigned = append(assigned, job.nextIndex)
		}
	}

	for _, index := range assigned {
		job.assign(index, instance, now.Add(lease))
	}

	return assigned, false
}

func (job *job) assign(index int, instance string, deadline time.Time) {
	job.assignments[index] = &assignment{instance: instance, deadline: deadline}
}

// requeue makes an item available to be handed out again. The retry count gives
// the next hand-out another request ID.
func (job *job) requeue(index int) {
	delete(job.assignments, index)
	job.retries[index]++
	job.requeued = append(job.requeued, index)
}

// hasReadyItems returns whether the job has items that can be handed out now.
func (job *job) hasReadyItems(now time.Time) bool {
	if job.released || job.cancelling || now.Before(job.pausedUntil) {
		return false
	}

	due := func(suspect suspect) bool { return !now.Before(suspect.notBefore) }

	return job.nextIndex < job.record.Items || len(job.requeued) > 0 || slices.ContainsFunc(job.suspects, due)
}

// bufferResult ends the assignment of an item and buffers its result, unless the
// item has one already.
func (job *job) bufferResult(now time.Time, result Result) {
	delete(job.assignments, result.Index)

	if job.hasResult(result.Index) || job.record.State.Ended() {
		return
	}

	if len(job.buffer) == 0 {
		job.bufferedSince = now
	}

	job.buffer = append(job.buffer, result)
	job.buffered[result.Index] = true
	delete(job.failures, result.Index)
	delete(job.confirmedFailures, result.Index)
	delete(job.retries, result.Index)
}

// isComplete returns whether the job can end: no item is assigned, and all have
// a result or the job is being cancelled.
func (job *job) isComplete() bool {
	if len(job.assignments) > 0 {
		return false
	}

	return job.cancelling || job.record.Counts.total()+len(job.buffer) >= job.record.Items
}

// total returns the number of items with a recorded result.
func (counts *Counts) total() int {
	return counts.Answered + counts.Failed + counts.MayHaveRun
}

// mergeRecord replaces the known record by a newer one that another process
// wrote, and drops buffered results that it already contains.
func (job *job) mergeRecord(record Record, revision keeper.Revision) {
	job.record = record
	job.revision = revision
	job.cancelling = job.cancelling || record.State != Open

	kept := job.buffer[:0]

	for _, result := range job.buffer {
		if record.Done.Has(result.Index) {
			delete(job.buffered, result.Index)

			continue
		}

		kept = append(kept, result)
	}

	job.buffer = kept
}
