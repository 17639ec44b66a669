package publisher

import (
	"bytes"
	"context"
	"crypto/sha256"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"limpetrail/locator"
)

// listTimeout bounds one read of the instance list.
const listTimeout = 5 * time.Second

// membership is this process's copy of the instance list, which may be out of
// date: a process that is missing from it still receives documents by its own pulls.
type membership struct {
	list       locator.List
	instance   string
	dataCentre string
	// watcherCount is the number of watchers in each data centre.
	watcherCount int

	mutex sync.RWMutex
	// peers holds the addresses of all other instances.
	peers []string
	// chosenAsWatcher is true if this process is one of its data centre's watchers.
	chosenAsWatcher bool
}

// refresh reads the instance list. After a failure the last list stays in use.
func (members *membership) refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()

	instances, err := members.list.Instances(ctx)
	if err != nil {
		return errors.Trace(err)
	}

	peers := []string{}
	local := []string{}

	for _, instance := range instances {
		if instance.Leaving {
			continue
		}

		if instance.DataCentre == members.dataCentre {
			local = append(local, instance.Name)
		}

		if instance.Name != members.instance {
			peers = append(peers, instance.Address)
		}
	}

	members.mutex.Lock()
	defer members.mutex.Unlock()

	members.peers = peers
	members.chosenAsWatcher = slices.Contains(highestHashes(local, members.watcherCount), members.instance)

	return nil
}

// shouldWatch returns whether this process watches the key-value service: it was
// chosen as a watcher, or it knows no peers.
func (members *membership) shouldWatch() bool {
	members.mutex.RLock()
	defer members.mutex.RUnlock()

	return members.chosenAsWatcher || len(members.peers) == 0
}

// randomPeers returns up to count different peer addresses at random. Instances
// may share an address, so the result may be shorter than the list.
func (members *membership) randomPeers(count int) []string {
	members.mutex.RLock()
	defer members.mutex.RUnlock()

	chosen := []string{}

	for draws := 0; len(chosen) < count && draws < drawsPerPeer*count && len(members.peers) > 0; draws++ {
		peer := members.peers[rand.IntN(len(members.peers))]
		if !slices.Contains(chosen, peer) {
			chosen = append(chosen, peer)
		}
	}

	return chosen
}

// drawsPerPeer bounds the random draws of randomPeers, per peer wanted.
const drawsPerPeer = 8

// highestHashes returns the count names with the highest hashes (rendezvous
// hashing), so that processes with the same list choose the same watchers without
// coordination.
func highestHashes(names []string, count int) []string {
	hashes := make(map[string][sha256.Size]byte, len(names))
	for _, name := range names {
		hashes[name] = sha256.Sum256([]byte(DocumentKey + "/" + name))
	}

	sorted := slices.Clone(names)
	slices.SortFunc(sorted, func(left, right string) int {
		leftHash, rightHash := hashes[left], hashes[right]

		return bytes.Compare(rightHash[:], leftHash[:])
	})

	return sorted[:min(count, len(sorted))]
}
