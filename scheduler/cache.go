package scheduler

import "sync"

// cachedChunks bounds the decoded chunks that are kept.
const cachedChunks = 16

// cache keeps the newest decoded chunks by their segment's name.
type cache struct {
	mutex  sync.Mutex
	chunks map[string][]Line
	// order lists the names from oldest to newest.
	order []string
}

func newCache() *cache {
	return &cache{chunks: map[string][]Line{}}
}

func (cache *cache) get(name string) ([]Line, bool) {
	cache.mutex.Lock()
	defer cache.mutex.Unlock()

	lines, found := cache.chunks[name]

	return lines, found
}

func (cache *cache) put(name string, lines []Line) {
	cache.mutex.Lock()
	defer cache.mutex.Unlock()

	if _, found := cache.chunks[name]; found {
		return
	}

	if len(cache.order) == cachedChunks {
		delete(cache.chunks, cache.order[0])
		cache.order = cache.order[1:]
	}

	cache.chunks[name] = lines
	cache.order = append(cache.order, name)
}
