package resumer

import (
	"cmp"
	"hash/fnv"
)

// compareRanks orders the addresses of holders for a stream by rendezvous hashing, the first one first.
func compareRanks(id, one, other string) int {
	return cmp.Or(cmp.Compare(rankOf(id, other), rankOf(id, one)), cmp.Compare(one, other))
}

func rankOf(id, holder string) uint64 {
	hash := fnv.New64a()
	// Write of a hash never returns an error.
	_, _ = hash.Write([]byte(holder + "\n" + id))

	return hash.Sum64()
}
