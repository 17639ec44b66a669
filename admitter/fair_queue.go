package admitter

import "slices"

// FairQueue shares service between keys by weight: self-clocked fair queueing
// (Golestani, "A Self-Clocked Fair Queueing Scheme for Broadband
// Applications", 1994) of items of equal cost. A key's items keep their order.
// It is not safe for concurrent use.
type FairQueue[K comparable, T comparable] struct {
	// items are in order of service: by tag, then by arrival.
	items []fairItem[K, T]
	// tags holds the tag of the last item of each key that has one queued or
	// served later than the present virtual time; no others.
	tags map[K]float64
	// virtual is the tag of the item served last; it never decreases.
	virtual float64
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

// Ahead returns how many items would be served before a new one of the key.
func (queue *FairQueue[K, T]) Ahead(key K, weight float64) int {
	return queue.position(queue.tag(key, weight))
}

// Push adds an item; weight is positive.
func (queue *FairQueue[K, T]) Push(key K, weight float64, value T) {
	tag := queue.tag(key, weight)
	queue.tags[key] = tag
	queue.items = slices.Insert(queue.items, queue.position(tag), fairItem[K, T]{key: key, tag: tag, value: value})
}

// Pop takes out the item to serve next.
func (queue *FairQueue[K, T]) Pop() (T, bool) {
	return queue.PopAllowed(func(K) bool { return true })
}

// PopAllowed takes out the first item whose key is allowed. Those passed over
// keep their turn.
func (queue *FairQueue[K, T]) PopAllowed(allowed func(K) bool) (T, bool) {
	index := slices.IndexFunc(queue.items, func(item fairItem[K, T]) bool { return allowed(item.key) })
	if index < 0 {
		var none T

		return none, false
	}

	served := queue.items[index]
	queue.items = slices.Delete(queue.items, index, index+1)
	queue.virtual = max(queue.virtual, served.tag)

	for key, tag := range queue.tags {
		if tag <= queue.virtual {
			delete(queue.tags, key)
		}
	}

	return served.value, true
}

// Remove takes out an item that is not served. Its key gets the turn back.
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
	return max(queue.virtual, queue.tags[key]) + 1/weight
}

// position returns where an item of the tag goes: after all of its equals.
func (queue *FairQueue[K, T]) position(tag float64) int {
	index, _ := slices.BinarySearchFunc(queue.items, tag, func(item fairItem[K, T], wanted float64) int {
		if item.tag <= wanted {
			return -1
		}

		return 1
	})

	return index
}
