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

// refreshInterval is the time between two reads of the list.
const refreshInterval = 2 * time.Second

// Peers maintains the list of the entries.
type Peers struct {
	kernel.Common
	List List

	mutex   sync.RWMutex
	entries []Instance
}

// NewPeers returns an empty list of entries, which Run fills.
func NewPeers(common kernel.Common, list List) *Peers {
	return &Peers{Common: common.ForPart("locator"), List: list}
}

// Run reads the list periodically until the context ends. If the list cannot be read
// the last entries are kept.
func (peers *Peers) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if instances, err := peers.List.Instances(ctx); err == nil {
			peers.Update(instances)
		}

		select {
		case <-time.After(refreshInterval):
		case <-ctx.Done():
		}
	}
}

// Update replaces the entries with those among the instances.
func (peers *Peers) Update(instances []Instance) {
	entries := slices.DeleteFunc(slices.Clone(instances), func(instance Instance) bool { return !instance.Entry })

	peers.mutex.Lock()
	defer peers.mutex.Unlock()

	peers.entries = entries
}

// Entries returns the entries except this process.
func (peers *Peers) Entries() []Instance {
	peers.mutex.RLock()
	defer peers.mutex.RUnlock()

	return slices.DeleteFunc(slices.Clone(peers.entries), func(instance Instance) bool { return instance.Name == peers.Instance })
}

// Rank returns this process's rank among the entries for a numbered resource, such as
// a shard, by rendezvous hash. 0 is the first; leaving entries are skipped.
func (peers *Peers) Rank(number int) int {
	own := rendezvousWeight(peers.Instance, number)
	rank := 0

	for _, entry := range peers.Entries() {
		if !entry.Leaving && cmp.Compare(rendezvousWeight(entry.Name, number), own) > 0 {
			rank++
		}
	}

	return rank
}

func rendezvousWeight(name string, number int) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(strconv.Itoa(number) + "/" + name))

	return hash.Sum64()
}
