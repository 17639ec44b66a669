package dispatcher

import "sync"

// maxIncarnations bounds the number of sidecars whose incarnation is cached.
const maxIncarnations = 8192

// incarnations caches the last known incarnation of each sidecar, by replica name. It
// is the Epoch of the sidecar's executor, which also changes while the sidecar runs. A
// sidecar refuses a request with a stale one as not run and returns its present one.
type incarnations struct {
	mutex  sync.Mutex
	values map[string]uint64
}

func newIncarnations() *incarnations {
	return &incarnations{values: map[string]uint64{}}
}

// get returns the incarnation, or 0 if none is known.
func (cache *incarnations) get(replica string) uint64 {
	cache.mutex.Lock()
	defer cache.mutex.Unlock()

	return cache.values[replica]
}

// set stores an incarnation that the sidecar sent; 0 removes the stored one.
func (cache *incarnations) set(replica string, incarnation uint64) {
	cache.mutex.Lock()
	defer cache.mutex.Unlock()

	if incarnation == 0 {
		delete(cache.values, replica)

		return
	}

	if len(cache.values) >= maxIncarnations {
		clear(cache.values)
	}

	cache.values[replica] = incarnation
}
