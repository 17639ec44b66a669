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

// membership is this process's view of the instance list, which may be old: a
// process that is missing from it still pulls by itself.
type membership struct {
	list       locator.List
	instance   string
	dataCentre string
	watchers   int

	mutex sync.RWMutex
	// peers holds the addresses of all other instances.
	peers []string
	// watches tells whether this process is one of its data centre's watchers.
	watches bool
}

// refresh reads the list. After a failure the last one stays.
func (members *membership) refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()

	instances, err := members.list.Instances(ctx)
	if err != nil {
		return errors.Trace(err)
	}

	peers := []string{}
	near := []string{}

	for _, instance := range instances {
		if instance.Leaving {
			continue
		}

		if instance.DataCentre == members.dataCentre {
			near = append(near, instance.Name)
		}

		if instance.Name != members.instance {
			peers = append(peers, instance.Address)
		}
	}

	members.mutex.Lock()
	defer members.mutex.Unlock()

	members.peers = peers
	members.watches = slices.Contains(highest(near, members.watchers), members.instance)

	return nil
}

// watcher tells whether this process watches the key-value service: when it
// is chosen, or when it knows no peer that could.
func (members *membership) watcher() bool {
	members.mutex.RLock()
	defer members.mutex.RUnlock()

	return members.watches || len(members.peers) == 0
}

// choose returns up to count different peers at random. Several instances may
// be listed with one address, so it may find fewer than are listed.
func (members *membership) choose(count int) []string {
	members.mutex.RLock()
	defer members.mutex.RUnlock()

	chosen := []string{}

	for tries := 0; len(chosen) < count && tries < choiceTries*count && len(members.peers) > 0; tries++ {
		peer := members.peers[rand.IntN(len(members.peers))]
		if !slices.Contains(chosen, peer) {
			chosen = append(chosen, peer)
		}
	}

	return chosen
}

// choiceTries is how many draws find each peer of a choice, on average at most.
const choiceTries = 8

// highest returns the count names of the highest hashes (rendezvous hashing),
// so that all processes with the same list choose the same without a word.
func highest(names []string, count int) []string {
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
