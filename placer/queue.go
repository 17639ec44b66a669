package placer

import (
	"slices"
	"time"
)

// waiting is work in the queue.
type waiting struct {
	work    Work
	arrived time.Time
	// granted gets the grant, at most once.
	granted chan *Grant
}

// queue holds the waiting work of a service: the more urgent first, equals in
// the order of their arrival, so that a peak starves no kind among equals.
type queue struct {
	waiting []*waiting
}

// ahead returns how much waits before new work of the priority.
func (queue *queue) ahead(priority int) int {
	return queue.position(priority)
}

func (queue *queue) position(priority int) int {
	index := slices.IndexFunc(queue.waiting, func(other *waiting) bool { return other.work.Priority > priority })
	if index < 0 {
		return len(queue.waiting)
	}

	return index
}

func (queue *queue) add(added *waiting) {
	queue.waiting = slices.Insert(queue.waiting, queue.position(added.work.Priority), added)
}

// remove takes work out and tells whether it was there.
func (queue *queue) remove(removed *waiting) bool {
	index := slices.Index(queue.waiting, removed)
	if index < 0 {
		return false
	}

	queue.waiting = slices.Delete(queue.waiting, index, index+1)

	return true
}
