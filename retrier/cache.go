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

// NewCache returns an empty cache.
func NewCache[K comparable, V any](maxKeys int, create func() V) *Cache[K, V] {
	return &Cache[K, V]{Create: create, MaxKeys: maxKeys, values: map[K]V{}}
}

// GetOrCreate returns the value of the key, and creates it if the key is new.
func (cache *Cache[K, V]) GetOrCreate(key K) V {
	cache.mutex.Lock()
	defer cache.mutex.Unlock()

	value, found := cache.values[key]
	if found {
		return value
	}

	for evicted := range cache.values {
		if len(cache.values) < cache.MaxKeys {
			break
		}

		delete(cache.values, evicted)
	}

	value = cache.Create()
	cache.values[key] = value

	return value
}
