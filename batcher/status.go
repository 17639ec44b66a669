package batcher

import (
	"cmp"
	"slices"
	"time"
)

// JobStatus is a job that this process works on.
type JobStatus struct {
	ID      string
	Due     time.Time
	Total   int
	Listed  int
	Running int
	Waiting int
	// Unlisted results are finished and wait for the key-value service.
	Unlisted int
}

// Status describes the jobs that this process owns, in the order of their due
// times.
func (batcher *Batcher) Status() []JobStatus {
	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()

	found := []JobStatus{}

	for id, owned := range batcher.owned {
		unlisted := len(owned.finished)
		if owned.proposed != nil {
			unlisted += len(owned.proposed.Results)
		}

		found = append(found, JobStatus{
			ID: id, Due: owned.job.Due, Total: len(owned.job.Items), Listed: owned.record.End().Position,
			Running: owned.running, Waiting: len(owned.waiting), Unlisted: unlisted,
		})
	}

	slices.SortFunc(found, func(a, b JobStatus) int { return cmp.Compare(a.Due.UnixNano(), b.Due.UnixNano()) })

	return found
}
