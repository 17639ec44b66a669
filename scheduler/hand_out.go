package scheduler

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"limpetrail/messenger"
)

// chooseJob returns the job with the earliest due time that has items to hand
// out, or nil. The job that the sidecar last had items of counts as due earlier
// by StayMargin, because its prompt prefix is cached there. The caller holds the
// mutex.
func (scheduler *Scheduler) chooseJob(now time.Time, service, instance string) *job {
	candidates := []*job{}

	for _, job := range scheduler.jobs {
		if job.record.Service == service && job.hasReadyItems(now) && scheduler.canHandOut(now, job) {
			candidates = append(candidates, job)
		}
	}

	if len(candidates) == 0 {
		return nil
	}

	lastID := scheduler.lastJobs[instance]
	due := func(job *job) time.Time {
		if job.id == lastID {
			return job.record.Due.Add(-scheduler.Settings.StayMargin)
		}

		return job.record.Due
	}

	return slices.MinFunc(candidates, func(left, right *job) int {
		return cmp.Or(due(left).Compare(due(right)), cmp.Compare(left.record.ID, right.record.ID))
	})
}

// canHandOut returns whether this entry may hand out items of the job. During an
// outage of the key-value service only idempotent items are handed out, as long
// as the buffer has capacity for their results.
func (scheduler *Scheduler) canHandOut(now time.Time, job *job) bool {
	if len(job.buffer)+len(job.assignments) >= scheduler.Settings.BufferItems {
		return false
	}

	if !job.idempotent {
		return now.Before(job.shard.leaseEnd) && job.epoch == job.shard.fence
	}

	return job.shard.canHandOutIdempotent(now) && job.epoch == job.shard.fence
}

// rememberLastJob records which job the sidecar had items of. The caller holds
// the mutex.
func (scheduler *Scheduler) rememberLastJob(instance, id string) {
	if len(scheduler.lastJobs) >= maxRememberedJobs {
		clear(scheduler.lastJobs)
	}

	scheduler.lastJobs[instance] = id
}

// prepareItems reads the bodies of assigned items and returns their messages.
// Non-idempotent items are recorded as started before they are sent. Items that
// cannot be sent are requeued.
func (scheduler *Scheduler) prepareItems(ctx context.Context, job *job, indexes []int, alone bool) ([]*messenger.Item, error) {
	lines, err := scheduler.readLines(ctx, job, indexes)
	if err == nil && !job.idempotent {
		err = scheduler.commit(ctx, job, indexes[:len(lines)])
		if err != nil {
			lines = nil
		}
	}

	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()

	for _, index := range indexes[len(lines):] {
		if err != nil && !job.idempotent {
			// The start may have been recorded although the answer was lost.
			job.notStarted = append(job.notStarted, index)
		}

		job.requeue(index)
	}

	scheduler.countInputFailure(job, indexes, err)

	if job.released || job.cancelling {
		return nil, err
	}

	items := make([]*messenger.Item, 0, len(lines))
	for position, line := range lines {
		items = append(items, job.newItem(indexes[position], line, alone))
	}

	return items, err
}

// readLines returns the lines of the leading indexes that fit into maxPullBytes,
// and at least one line.
func (scheduler *Scheduler) readLines(ctx context.Context, job *job, indexes []int) ([]Line, error) {
	fitting := []Line{}
	size := 0

	for _, index := range indexes {
		lines, first, err := scheduler.segmentLines(ctx, job.fileID, index)
		if err != nil {
			return nil, errors.Trace(err)
		}

		line := lines[index-first]
		size += len(line.Body)

		if len(fitting) > 0 && size > maxPullBytes {
			break
		}

		fitting = append(fitting, line)
	}

	return fitting, nil
}

// countInputFailure pauses a job whose input could not be read. After
// maxInputReads consecutive reads for which no holder had the input, it fails
// the items. The caller holds the mutex.
func (scheduler *Scheduler) countInputFailure(job *job, indexes []int, err error) {
	switch {
	case err == nil:
		job.inputFailures = 0
	case !errors.Is(err, errors.NotFound):
		job.pausedUntil = time.Now().Add(time.Second)
	default:
		job.inputFailures++
		job.pausedUntil = time.Now().Add(inputRetryDelay)
	}

	if job.inputFailures < maxInputReads {
		return
	}

	for _, index := range indexes {
		job.bufferResult(time.Now(), Result{Index: index, Fate: ItemFailed, Reason: "no holder has the item any more"})
	}
}

// newItem returns the message that hands out one item.
func (job *job) newItem(index int, line Line, alone bool) *messenger.Item {
	return &messenger.Item{
		JobId:    job.id,
		Index:    uint32(index),
		CustomId: line.CustomID,
		Alone:    alone,
		Request: &messenger.ExecuteRequest{
			RequestId:       job.id + "." + itoa(index) + "." + itoa(job.retries[index]),
			Class:           messenger.Class_CLASS_BATCH,
			Firm:            job.record.Firm,
			Workspace:       job.record.Workspace,
			Service:         job.record.Service,
			Adapter:         job.record.Adapter,
			Path:            job.record.Path,
			Body:            line.Body,
			ContentType:     "application/json",
			Idempotent:      job.idempotent,
			Plain:           job.record.Plain,
			RemainingMicros: uint64(itemTimeout.Microseconds()),
			DueMillis:       job.record.Due.UnixMilli(),
			Alone:           alone,
		},
	}
}
