package follower

import (
	"crypto/sha256"
	"encoding/binary"

	"limpetrail/keeper"
)

// digestOf returns a number for the keys and revisions of the items, whatever their order.
// Two processes whose copies have the same digest have the same items.
func digestOf(items ...keeper.Item) uint64 {
	digest := uint64(0)

	for _, item := range items {
		hash := sha256.Sum256(append(binary.BigEndian.AppendUint64(nil, uint64(item.Revision)), item.Key...))
		digest ^= binary.BigEndian.Uint64(hash[:])
	}

	return digest
}
