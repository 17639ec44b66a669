package emulator

import (
	"container/list"
	"hash/fnv"
)

// BlockTokens is the number of tokens in a block of the prefix cache.
const BlockTokens = 16

// prefixCache is an LRU cache of the leading blocks of prompts. The key of a block is
// the hash of everything up to its end, so that equal blocks after different prefixes
// differ.
type prefixCache struct {
	// capacity is the maximum number of blocks.
	capacity int
	// recency holds the hashes of blocks, the most recently used first.
	recency *list.List
	// blocks maps each hash to its element of recency.
	blocks map[uint64]*list.Element
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, recency: list.New(), blocks: map[uint64]*list.Element{}}
}

// blockHashes returns the hashes of the complete blocks of the tokens.
func blockHashes(tokens []string) []uint64 {
	hash := fnv.New64a()
	hashes := make([]uint64, 0, len(tokens)/BlockTokens)

	for index, token := range tokens {
		hash.Write([]byte(token))
		hash.Write([]byte{0})

		if (index+1)%BlockTokens == 0 {
			hashes = append(hashes, hash.Sum64())
		}
	}

	return hashes
}

// lookUp returns how many leading tokens are cached, and then stores all blocks.
func (cache *prefixCache) lookUp(hashes []uint64) int {
	cached := 0
	for cached < len(hashes) && cache.blocks[hashes[cached]] != nil {
		cached++
	}

	cache.store(hashes)

	return cached * BlockTokens
}

// store makes the blocks the most recently used ones, the first block last, so that
// the end of a prefix is evicted before its beginning.
func (cache *prefixCache) store(hashes []uint64) {
	for index := len(hashes) - 1; index >= 0; index-- {
		cache.storeBlock(hashes[index])
	}

	for cache.recency.Len() > cache.capacity {
		oldest := cache.recency.Back()
		cache.recency.Remove(oldest)
		delete(cache.blocks, oldest.Value.(uint64))
	}
}

func (cache *prefixCache) storeBlock(hash uint64) {
	if element, found := cache.blocks[hash]; found {
		cache.recency.MoveToFront(element)

		return
	}

	cache.blocks[hash] = cache.recency.PushFront(hash)
}
