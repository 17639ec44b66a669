package router

import "github.com/cespare/xxhash/v2"

const (
	// prefixBlockBytes is the length of one block of a prompt.
	prefixBlockBytes = 256
	// prefixGrowth is the ratio between successive depths that get a key.
	prefixGrowth = 4
	// maxPrefixKeys is the maximum number of keys of one prompt.
	maxPrefixKeys = 5
)

// PrefixKeys returns hashes of the prompt's leading blocks at depths of 1, 4,
// 16, 64 and 256 blocks, as far as the prompt reaches. A growing conversation
// keeps its deepest key until it is four times as long, so that its turns go to
// the same replica without any entry storing a mapping.
func PrefixKeys(prompt []byte) []uint64 {
	keys := make([]uint64, 0, maxPrefixKeys)
	digest := xxhash.New()
	hashed := 0

	for depth := prefixBlockBytes; len(keys) < maxPrefixKeys && depth <= len(prompt); depth *= prefixGrowth {
		// A Digest's Write never fails.
		_, _ = digest.Write(prompt[hashed:depth])
		hashed = depth
		keys = append(keys, digest.Sum64())
	}

	return keys
}
