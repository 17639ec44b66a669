package retrier

import "sync"

// Group holds one value for each key and makes it at first use.
type Group[K comparable, V any] struct {
	// Make returns the value of a new key.
	Make func() V
	// Limit bounds the keys; a key beyond it drops an arbitrary other one.
	Limit int

	mutex  sync.Mutex
	values map[K]V
}

// NewGroup returns an empty group.
func NewGroup[K comparable, V any](limit int, create func() V) *Group[K, V] {
	return &Group[K, V]{Make: create, Limit: limit, values: map[K]V{}}
}

// Get returns the value of the key.
func (group *Group[K, V]) Get(key K) V {
	group.mutex.Lock()
	defer group.mutex.Unlock()

	value, found := group.values[key]
	if found {
		return value
	}

	for other := range group.values {
		if len(group.values) < group.Limit {
			break
		}

		delete(group.values, other)
	}

	value = group.Make()
	group.values[key] = value

	return value
}
