package emulator

import (
	"container/list"
	"hash/fnv"
)

// BlockTokens is the length of the blocks that the prefix cache keeps.
const BlockTokens = 16

// prefixCache holds the leading blocks of prompts, the least recently used
// being dropped first. A block is named by the hash of everything up to its
// end, so that equal blocks after unequal beginnings differ.
type prefixCache struct {
	// capacity bounds the number of blocks.
	capacity int
	// order holds block names, the most recently used first.
	order *list.List
	// blocks has exactly the elements of order.
	blocks map[uint64]*list.Element
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), blocks: map[uint64]*list.Element{}}
}

// blockNames returns the names of the whole blocks of the tokens.
func blockNames(tokens []string) []uint64 {
	hash := fnv.New64a()
	names := make([]uint64, 0, len(tokens)/BlockTokens)

	for index, token := range tokens {
		hash.Write([]byte(token))
		hash.Write([]byte{0})

		if (index+1)%BlockTokens == 0 {
			names = append(names, hash.Sum64())
		}
	}

	return names
}

// read returns how many leading tokens are held, and then holds all blocks.
func (cache *prefixCache) read(names []uint64) int {
	held := 0
	for held < len(names) && cache.blocks[names[held]] != nil {
		held++
	}

	cache.hold(names)

	return held * BlockTokens
}

// hold makes the blocks the most recently used ones, the first block last, so
// that the end of a prefix is dropped before its beginning.
func (cache *prefixCache) hold(names []uint64) {
	for index := len(names) - 1; index >= 0; index-- {
		cache.touch(names[index])
	}

	for cache.order.Len() > cache.capacity {
		oldest := cache.order.Back()
		cache.order.Remove(oldest)
		delete(cache.blocks, oldest.Value.(uint64))
	}
}

func (cache *prefixCache) touch(name uint64) {
	if element, held := cache.blocks[name]; held {
		cache.order.MoveToFront(element)

		return
	}

	cache.blocks[name] = cache.order.PushFront(name)
}
