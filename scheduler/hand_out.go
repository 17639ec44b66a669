package scheduler

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"limpetrail/messenger"
)

// choose picks the job that is due first, with the mutex held. The job that
// the sidecar had items of counts as due somewhat earlier, because its prompt
// prefix is cached there.
func (scheduler *Scheduler) choose(now time.Time, service, instance string) *job {
	candidates := []*job{}

	for _, job := range scheduler.jobs {
		if job.record.Service == service && job.ready(now) && scheduler.mayHandOut(now, job) {
			candidates = append(candidates, job)
		}
	}

	if len(candidates) == 0 {
		return nil
	}

	last := scheduler.last[instance]
	due := func(job *job) time.Time {
		if job.id == last {
			return job.record.Due.Add(-scheduler.Settings.StayMargin)
		}

		return job.record.Due
	}

	return slices.MinFunc(candidates, func(left, right *job) int {
		return cmp.Or(due(left).Compare(due(right)), cmp.Compare(left.record.ID, right.record.ID))
	})
}

// mayHandOut tells whether this entry may let items of the job start. In an
// outage idempotent ones go on while there is room for their results.
func (scheduler *Scheduler) mayHandOut(now time.Time, job *job) bool {
	if len(job.buffer)+len(job.handed) >= scheduler.Settings.BufferItems {
		return false
	}

	if !job.idempotent {
		return now.Before(job.shard.until) && job.epoch == job.shard.fence
	}

	return job.shard.mayHandOut(now) && job.epoch == job.shard.fence
}

func (scheduler *Scheduler) remember(instance, id string) {
	if len(scheduler.last) >= rememberedEnds {
		clear(scheduler.last)
	}

	scheduler.last[instance] = id
}

// items reads the bodies of the taken items. Non-idempotent items are recorded
// as started before they leave. Items that cannot leave are given back.
func (scheduler *Scheduler) items(ctx context.Context, job *job, indexes []int, alone bool) ([]*messenger.Item, error) {
	lines, err := scheduler.read(ctx, job, indexes)
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
			// The mark may have been written although its answer was lost.
			job.unstarted = append(job.unstarted, index)
		}

		job.giveBack(index)
	}

	scheduler.countLost(job, indexes, err)

	if job.lost || job.cancelling {
		return nil, err
	}

	items := make([]*messenger.Item, 0, len(lines))
	for position, line := range lines {
		items = append(items, job.item(indexes[position], line, alone))
	}

	return items, err
}

// read returns the lines of the leading indexes that fit one answer.
func (scheduler *Scheduler) read(ctx context.Context, job *job, indexes []int) ([]Line, error) {
	found := []Line{}
	bytes := 0

	for _, index := range indexes {
		lines, first, err := scheduler.lines(ctx, job.fileID, index)
		if err != nil {
			return nil, errors.Trace(err)
		}

		line := lines[index-first]
		bytes += len(line.Body)

		if len(found) > 0 && bytes > maxWindowBytes {
			break
		}

		found = append(found, line)
	}

	return found, nil
}

// countLost pauses a job whose input no holder has, and after a number of
// tries fails the items, with the mutex held.
func (scheduler *Scheduler) countLost(job *job, indexes []int, err error) {
	switch {
	case err == nil:
		job.lostInput = 0
	case !errors.Is(err, errors.NotFound):
		job.pausedUntil = time.Now().Add(time.Second)
	default:
		job.lostInput++
		job.pausedUntil = time.Now().Add(inputPause)
	}

	if job.lostInput < inputReads {
		return
	}

	for _, index := range indexes {
		job.finish(time.Now(), Result{Index: index, Fate: ItemFailed, Reason: "no holder has the item any more"})
	}
}

// item builds the message of one item.
func (job *job) item(index int, line Line, alone bool) *messenger.Item {
	return &messenger.Item{
		JobId:    job.id,
		Index:    uint32(index),
		CustomId: line.CustomID,
		Alone:    alone,
		Request: &messenger.ExecuteRequest{
			RequestId:       job.id + "." + number(index) + "." + number(job.tries[index]),
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
			RemainingMicros: uint64(itemTime.Microseconds()),
			DueMillis:       job.record.Due.UnixMilli(),
			Alone:           alone,
		},
	}
}
