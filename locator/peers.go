package locator

import (
	"cmp"
	"context"
	"hash/fnv"
	"slices"
	"strconv"
	"sync"
	"time"

	"limpetrail/kernel"
)

// peersInterval is the time between two reads of the list.
const peersInterval = 2 * time.Second

// Peers follows which entries there are.
type Peers struct {
	kernel.Common
	List List

	mutex   sync.RWMutex
	entries []Instance
}

// NewPeers returns a follower that knows no entry yet.
func NewPeers(common kernel.Common, list List) *Peers {
	return &Peers{Common: common.ForPart("locator"), List: list}
}

// Run follows the list until the context ends. When it cannot be read the last
// one stays.
func (peers *Peers) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if instances, err := peers.List.Instances(ctx); err == nil {
			peers.Update(instances)
		}

		select {
		case <-time.After(peersInterval):
		case <-ctx.Done():
		}
	}
}

// Update replaces the entries by those of the platform's list.
func (peers *Peers) Update(instances []Instance) {
	entries := slices.DeleteFunc(slices.Clone(instances), func(instance Instance) bool { return !instance.Entry })

	peers.mutex.Lock()
	defer peers.mutex.Unlock()

	peers.entries = entries
}

// Entries returns the entries other than this process.
func (peers *Peers) Entries() []Instance {
	peers.mutex.RLock()
	defer peers.mutex.RUnlock()

	return slices.DeleteFunc(slices.Clone(peers.entries), func(instance Instance) bool { return instance.Name == peers.Instance })
}

// Rank returns this process's place among the entries for the numbered thing,
// by rendezvous hash; 0 is first.
func (peers *Peers) Rank(number int) int {
	own := rendezvous(peers.Instance, number)
	rank := 0

	for _, entry := range peers.Entries() {
		if !entry.Leaving && cmp.Compare(rendezvous(entry.Name, number), own) > 0 {
			rank++
		}
	}

	return rank
}

func rendezvous(name string, number int) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(strconv.Itoa(number) + "/" + name))

	return hash.Sum64()
}
