package scheduler

import "sync"

// maxCachedChunks is the largest number of decoded chunks in the cache.
const maxCachedChunks = 16

// chunkCache caches the decoded lines of file segments by segment name. When it
// is full, it evicts the chunk that was added first.
type chunkCache struct {
	mutex  sync.Mutex
	chunks map[string][]Line
	// order lists the segment names, oldest first.
	order []string
}

func newChunkCache() *chunkCache {
	return &chunkCache{chunks: map[string][]Line{}}
}

func (cache *chunkCache) get(name string) ([]Line, bool) {
	cache.mutex.Lock()
	defer cache.mutex.Unlock()

	lines, found := cache.chunks[name]

	return lines, found
}

func (cache *chunkCache) put(name string, lines []Line) {
	cache.mutex.Lock()
	defer cache.mutex.Unlock()

	if _, found := cache.chunks[name]; found {
		return
	}

	if len(cache.order) == maxCachedChunks {
		delete(cache.chunks, cache.order[0])
		cache.order = cache.order[1:]
	}

	cache.chunks[name] = lines
	cache.order = append(cache.order, name)
}
