package admitter

import "slices"

// SortedQueue keeps items sorted by a comparison function; equal items stay in
// order of arrival. It is not safe for concurrent use.
type SortedQueue[T comparable] struct {
	compare func(left, right T) int
	// items is always sorted.
	items []T
}

// NewSortedQueue returns an empty queue sorted by compare.
func NewSortedQueue[T comparable](compare func(left, right T) int) *SortedQueue[T] {
	return &SortedQueue[T]{compare: compare}
}

// Len returns the number of items.
func (queue *SortedQueue[T]) Len() int { return len(queue.items) }

// Push adds an item.
func (queue *SortedQueue[T]) Push(value T) {
	index, _ := slices.BinarySearchFunc(queue.items, value, func(item, wanted T) int {
		if queue.compare(item, wanted) <= 0 {
			return -1
		}

		return 1
	})
	queue.items = slices.Insert(queue.items, index, value)
}

// First returns the first item.
func (queue *SortedQueue[T]) First() (T, bool) {
	if len(queue.items) == 0 {
		var zero T

		return zero, false
	}

	return queue.items[0], true
}

// Remove removes an item and reports whether it was there.
func (queue *SortedQueue[T]) Remove(value T) bool {
	index := slices.Index(queue.items, value)
	if index < 0 {
		return false
	}

	queue.items = slices.Delete(queue.items, index, index+1)

	return true
}
