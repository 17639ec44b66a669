package batcher

import (
	"cmp"
	"slices"
	"time"
)

// JobStatus describes a job that this process runs.
type JobStatus struct {
	ID    string
	Due   time.Time
	Total int
	// Listed is the number of results that are committed to the key-value service.
	Listed  int
	Running int
	Waiting int
	// Unlisted is the number of results that are not committed yet.
	Unlisted int
}

// Status returns the jobs that this process runs, in the order of their due times.
func (batcher *Batcher) Status() []JobStatus {
	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()

	statuses := []JobStatus{}

	for id, active := range batcher.active {
		uncommittedCount := len(active.uncommitted)
		if active.proposed != nil {
			uncommittedCount += len(active.proposed.Results)
		}

		statuses = append(statuses, JobStatus{
			ID: id, Due: active.job.Due, Total: len(active.job.Items), Listed: active.record.NextSegment().Position,
			Running: active.running, Waiting: len(active.waiting), Unlisted: uncommittedCount,
		})
	}

	slices.SortFunc(statuses, func(a, b JobStatus) int { return cmp.Compare(a.Due.UnixNano(), b.Due.UnixNano()) })

	return statuses
}
