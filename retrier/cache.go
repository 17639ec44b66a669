package retrier

import "sync"

// Cache is a bounded map that creates the value of a key at its first use.
type Cache[K comparable, V any] struct {
	// Create returns the value for a new key.
	Create func() V
	// MaxKeys bounds the number of keys; adding a key beyond it evicts an arbitrary
	// other one.
	MaxKeys int

	mutex  sync.Mutex
	values map[K]V
}

// NewCache returns an empty group.
func NewCache[K comparable, V any](limit int, create func() V) *Cache[K, V] {
	return &Cache[K, V]{Create: create, MaxKeys: limit, values: map[K]V{}}
}

// GetOrCreate returns the value of the key, and creates it if the key is new.
func (group *Cache[K, V]) GetOrCreate(key K) V {
	group.mutex.Lock()
	defer group.mutex.Unlock()

	value, found := group.values[key]
	if found {
		return value
	}

	for evicted := range group.values {
		if len(group.values) < group.MaxKeys {
			break
		}

		delete(group.values, evicted)
	}

	value = group.Create()
	group.values[key] = value

	return value
}
