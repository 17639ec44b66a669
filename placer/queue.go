package placer

import (
	"slices"
	"time"
)

// queuedWork is online work that waits for a place.
type queuedWork struct {
	work    Work
	arrived time.Time
	// granted receives the grant, at most once.
	granted chan *Grant
}

// queue holds the waiting work of a service by priority. Work of equal priority is in the
// order of arrival, so that no kind of work of that priority starves at a peak.
type queue struct {
	waiting []*queuedWork
}

// ahead returns how many requests are served before new work of the priority.
func (queue *queue) ahead(priority int) int {
	return queue.position(priority)
}

func (queue *queue) position(priority int) int {
	index := slices.IndexFunc(queue.waiting, func(other *queuedWork) bool { return other.work.Priority > priority })
	if index < 0 {
		return len(queue.waiting)
	}

	return index
}

func (queue *queue) add(added *queuedWork) {
	queue.waiting = slices.Insert(queue.waiting, queue.position(added.work.Priority), added)
}

// remove removes work and reports whether it was queued.
func (queue *queue) remove(removed *queuedWork) bool {
	index := slices.Index(queue.waiting, removed)
	if index < 0 {
		return false
	}

	queue.waiting = slices.Delete(queue.waiting, index, index+1)

	return true
}
