package router

import (
	"github.com/cespare/xxhash/v2"
)

const (
	// slotsPerReplica is the number of hash slots per replica. More slots give
	// the replicas more equal shares of the prefixes.
	slotsPerReplica = 8
	// homesPerPrefix is how many home replicas a prefix has, best first.
	homesPerPrefix = 3
)

// replicaSet is the replicas of one service and the mapping of prompt prefixes
// to their home replicas. It is immutable; a change of the list makes a new one.
type replicaSet struct {
	replicas []*replicaState
	// slots maps the hash of a prefix to indexes of replicas by rendezvous
	// hashing (Thaler and Ravishankar, 1998). It is computed once for each
	// change of the list, so that a lookup costs the same for any number of
	// replicas. Its length is a power of two.
	slots [][homesPerPrefix]uint16
}

func newReplicaSet(replicas []*replicaState) *replicaSet {
	count := 1
	for count < slotsPerReplica*len(replicas) {
		count *= 2
	}

	hashes := make([]uint64, len(replicas))
	for index, state := range replicas {
		hashes[index] = xxhash.Sum64String(state.replica.Name)
	}

	result := &replicaSet{replicas: replicas, slots: make([][homesPerPrefix]uint16, count)}
	for slot := range result.slots {
		result.slots[slot] = rankReplicas(uint64(slot), hashes)
	}

	return result
}

// rankReplicas returns the indexes of the replicas with the highest weights for
// a slot. With fewer replicas than homes, the remaining entries repeat the best.
func rankReplicas(slot uint64, hashes []uint64) [homesPerPrefix]uint16 {
	var (
		best    [homesPerPrefix]uint16
		weights [homesPerPrefix]uint64
	)

	for index, hash := range hashes {
		weight := mixBits(slot ^ hash)

		for position := range best {
			if weight <= weights[position] {
				continue
			}

			copy(best[position+1:], best[position:])
			copy(weights[position+1:], weights[position:])
			best[position], weights[position] = uint16(index), weight

			break
		}
	}

	for position := range best {
		if weights[position] == 0 {
			best[position] = best[0]
		}
	}

	return best
}

// mixBits is the finalizer of MurmurHash3: every bit of the result depends on
// every bit of the value.
func mixBits(value uint64) uint64 {
	value ^= value >> 33
	value *= 0xff51afd7ed558ccd
	value ^= value >> 33
	value *= 0xc4ceb9fe1a85ec53
	value ^= value >> 33

	return value
}

// homes returns the indexes of a prefix's home replicas, best first.
func (set *replicaSet) homes(key uint64) [homesPerPrefix]uint16 {
	return set.slots[key&uint64(len(set.slots)-1)]
}
