package admitter

import "slices"

// FairQueue shares service among keys by weight. It uses self-clocked fair
// queueing (Golestani, "A Self-Clocked Fair Queueing Scheme for Broadband
// Applications", 1994) with items of equal cost. Items of one key keep their
// order. It is not safe for concurrent use.
type FairQueue[K comparable, T comparable] struct {
	// items are in order of service: by tag, then by arrival.
	items []fairItem[K, T]
	// tags holds the tag of each key's last item, queued or served, while it is
	// above the virtual time.
	tags map[K]float64
	// virtualTime is the tag of the item served last; it never decreases.
	virtualTime float64
}

type fairItem[K comparable, T comparable] struct {
	key   K
	tag   float64
	value T
}

// NewFairQueue returns an empty queue.
func NewFairQueue[K comparable, T comparable]() *FairQueue[K, T] {
	return &FairQueue[K, T]{tags: map[K]float64{}}
}

// Len returns the number of items.
func (queue *FairQueue[K, T]) Len() int { return len(queue.items) }

// Ahead returns how many items would be served before a new item of the key.
func (queue *FairQueue[K, T]) Ahead(key K, weight float64) int {
	return queue.position(queue.tag(key, weight))
}

// Push adds an item; weight is positive.
func (queue *FairQueue[K, T]) Push(key K, weight float64, value T) {
	tag := queue.tag(key, weight)
	queue.tags[key] = tag
	queue.items = slices.Insert(queue.items, queue.position(tag), fairItem[K, T]{key: key, tag: tag, value: value})
}

// Pop removes and returns the item to serve next.
func (queue *FairQueue[K, T]) Pop() (T, bool) {
	return queue.PopAllowed(func(K) bool { return true })
}

// PopAllowed removes and returns the first item whose key is allowed. Items
// passed over keep their position.
func (queue *FairQueue[K, T]) PopAllowed(allowed func(K) bool) (T, bool) {
	index := slices.IndexFunc(queue.items, func(item fairItem[K, T]) bool { return allowed(item.key) })
	if index < 0 {
		var zero T

		return zero, false
	}

	served := queue.items[index]
	queue.items = slices.Delete(queue.items, index, index+1)
	queue.virtualTime = max(queue.virtualTime, served.tag)

	for key, tag := range queue.tags {
		if tag <= queue.virtualTime {
			delete(queue.tags, key)
		}
	}

	return served.value, true
}

// Remove removes an item that has not been served and reports whether it was
// there. The tag of its key falls back to that of the key's last remaining
// item, so that the removed item costs the key nothing.
func (queue *FairQueue[K, T]) Remove(value T) bool {
	index := slices.IndexFunc(queue.items, func(item fairItem[K, T]) bool { return item.value == value })
	if index < 0 {
		return false
	}

	removed := queue.items[index]
	queue.items = slices.Delete(queue.items, index, index+1)
	delete(queue.tags, removed.key)

	for _, item := range queue.items {
		if item.key == removed.key {
			queue.tags[item.key] = item.tag
		}
	}

	return true
}

// All returns the items in order of service.
func (queue *FairQueue[K, T]) All() []T {
	values := make([]T, len(queue.items))
	for index, item := range queue.items {
		values[index] = item.value
	}

	return values
}

func (queue *FairQueue[K, T]) tag(key K, weight float64) float64 {
	return max(queue.virtualTime, queue.tags[key]) + 1/weight
}

// position returns the index at which an item with the tag is inserted: after
// all items of an equal tag.
func (queue *FairQueue[K, T]) position(tag float64) int {
	index, _ := slices.BinarySearchFunc(queue.items, tag, func(item fairItem[K, T], wanted float64) int {
		if item.tag <= wanted {
			return -1
		}

		return 1
	})

	return index
}
