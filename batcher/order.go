package batcher

import "time"

// itemTime is about what an item takes from its start to its end.
const itemTime = 5 * time.Second

// next returns the job whose item gets the next place: the one that is due
// first among those that can still be in time. Late ones come last, so that
// a pile of jobs does not make all of them late.
func next(owned map[string]*work, now time.Time) *work {
	var found *work

	for _, candidate := range owned {
		if candidate.ready(now) != nil && (found == nil || before(candidate, found, now)) {
			found = candidate
		}
	}

	return found
}

func before(a, b *work, now time.Time) bool {
	if lateA, lateB := late(a, now), late(b, now); lateA != lateB {
		return lateB
	}

	if !a.job.Due.Equal(b.job.Due) {
		return a.job.Due.Before(b.job.Due)
	}

	return a.job.ID < b.job.ID
}

func late(work *work, now time.Time) bool {
	return now.Add(itemTime / 2).After(work.job.Due)
}

// ready returns the item of the job that goes next: one that is begun before
// one that is not, since its place is paid for in part.
func (work *work) ready(now time.Time) *task {
	var found *task

	for _, task := range work.waiting {
		if now.Before(task.notBefore) {
			continue
		}

		if found == nil || task.events > found.events {
			found = task
		}
	}

	return found
}
