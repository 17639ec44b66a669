package emulator

import (
	"bytes"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"limpetrail/keeper"
)

// maxKeyBytes is the longest key that is accepted.
const maxKeyBytes = 200

// catalogState is the state that all views share.
type catalogState struct {
	mutex    sync.Mutex
	revision keeper.Revision
	items    map[string]keeper.Item
	// history holds all changes after the revision in compacted.
	history   []keeper.Change
	compacted keeper.Revision
	leases    map[keeper.LeaseID]*catalogLease
	lastLease keeper.LeaseID
	// changed is closed and replaced at each change.
	changed chan struct{}
	calls   map[string]int
	// valueBytes is the longest value that is accepted.
	valueBytes int
}

// catalogLease is a lease that has not expired.
type catalogLease struct {
	duration time.Duration
	timer    *time.Timer
}

func (state *catalogState) itemAt(key string) keeper.Item {
	if item, found := state.items[key]; found {
		return item
	}

	return keeper.Item{Key: key}
}

// changesAfter returns the changes of a prefix after a revision, and a channel that is
// closed at the next change.
func (state *catalogState) changesAfter(prefix string, after keeper.Revision) (keeper.Changes, <-chan struct{}, error) {
	state.mutex.Lock()
	defer state.mutex.Unlock()

	if after < state.compacted {
		return keeper.Changes{}, nil, errors.Trace(keeper.ErrCompacted)
	}

	changes := keeper.Changes{Revision: state.revision}

	for _, change := range state.history {
		if change.Revision > after && strings.HasPrefix(change.Key, prefix) {
			changes.Events = append(changes.Events, change)
		}
	}

	return changes, state.changed, nil
}

// reject returns an error if a transaction asks for something that is not allowed.
func (state *catalogState) reject(transaction keeper.Transaction) error {
	state.mutex.Lock()
	defer state.mutex.Unlock()

	if transaction.EntryCount() > keeper.MaxTransactionEntries {
		return errors.Annotatef(keeper.ErrRejected, "transaction of %d entries", transaction.EntryCount())
	}

	for _, put := range transaction.Puts {
		if len(put.Value) > state.valueBytes {
			return errors.Annotatef(keeper.ErrRejected, "value of %d bytes", len(put.Value))
		}

		if len(put.Key) > maxKeyBytes {
			return errors.Annotatef(keeper.ErrRejected, "key of %d bytes", len(put.Key))
		}
	}

	return nil
}

func (state *catalogState) transact(transaction keeper.Transaction) (keeper.TransactionResult, error) {
	state.mutex.Lock()
	defer state.mutex.Unlock()

	refused := false
	present := []keeper.Item{}

	for _, condition := range transaction.Conditions {
		item := state.itemAt(condition.Key)
		present = append(present, item)
		refused = refused || item.Revision != condition.Revision
	}

	if refused {
		return keeper.TransactionResult{Applied: keeper.WriteRefused, Present: present}, nil
	}

	for _, put := range transaction.Puts {
		if _, active := state.leases[put.Lease]; put.Lease != 0 && !active {
			return keeper.TransactionResult{Applied: keeper.WriteRefused}, errors.Trace(keeper.ErrLeaseEnded)
		}
	}

	state.write(transaction.Puts, transaction.Removes)

	return keeper.TransactionResult{Applied: keeper.WriteApplied, Revision: state.revision}, nil
}

// write puts and removes keys in one revision. The caller holds the mutex.
func (state *catalogState) write(puts []keeper.Put, removes []string) {
	state.revision++

	for _, put := range puts {
		item := keeper.Item{Key: put.Key, Value: bytes.Clone(put.Value), Revision: state.revision, Created: state.items[put.Key].Created, Lease: put.Lease}
		if item.Created == 0 {
			item.Created = state.revision
		}

		state.items[put.Key] = item
		state.history = append(state.history, keeper.Change{Item: item})
	}

	for _, key := range removes {
		if _, found := state.items[key]; !found {
			continue
		}

		delete(state.items, key)

		state.history = append(state.history, keeper.Change{Item: keeper.Item{Key: key, Revision: state.revision}, Deleted: true})
	}

	state.notifyWatchers()
}

// endLease ends a lease and removes the keys attached to it.
func (state *catalogState) endLease(lease keeper.LeaseID) {
	state.mutex.Lock()
	defer state.mutex.Unlock()

	active, found := state.leases[lease]
	if !found {
		return
	}

	active.timer.Stop()
	delete(state.leases, lease)

	keys := []string{}

	for key, item := range state.items {
		if item.Lease == lease {
			keys = append(keys, key)
		}
	}

	if len(keys) > 0 {
		state.write(nil, keys)
	}
}

func (state *catalogState) notifyWatchers() {
	close(state.changed)
	state.changed = make(chan struct{})
}
