package emulator

import (
	"bytes"
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"limpetrail/keeper"
)

// pageItems is how many items a page holds; few, so that tests turn pages.
const pageItems = 50

// Catalog stands in for a key-value service with ranges, leases and
// transactions. Each view has faults of its own, as a service that turns some
// of its clients away.
type Catalog struct {
	Faults *Faults
	// Late delays the effect of each transaction whose answer is dropped.
	Late time.Duration

	state *catalogState
}

var _ keeper.Catalog = (*Catalog)(nil)

// catalogState is what all views share.
type catalogState struct {
	mutex    sync.Mutex
	revision keeper.Revision
	items    map[string]keeper.Item
	// history holds all changes since compacted.
	history   []keeper.Change
	compacted keeper.Revision
	leases    map[keeper.LeaseID]*catalogLease
	lastLease keeper.LeaseID
	// changed is closed and replaced at each change.
	changed chan struct{}
	calls   map[string]int
}

// catalogLease is a lease that runs.
type catalogLease struct {
	duration time.Duration
	timer    *time.Timer
}

// NewCatalog returns an empty catalog whose revision is above 0.
func NewCatalog() *Catalog {
	return &Catalog{Faults: NewFaults(), state: &catalogState{
		revision: 1,
		items:    map[string]keeper.Item{},
		leases:   map[keeper.LeaseID]*catalogLease{},
		changed:  make(chan struct{}),
		calls:    map[string]int{},
	}}
}

// View returns the catalog as another client sees it.
func (catalog *Catalog) View() *Catalog {
	return &Catalog{Faults: NewFaults(), state: catalog.state}
}

// Calls returns how often an operation was called.
func (catalog *Catalog) Calls(operation string) int {
	catalog.state.mutex.Lock()
	defer catalog.state.mutex.Unlock()

	return catalog.state.calls[operation]
}

// Put writes a key without a condition, as the platform does.
func (catalog *Catalog) Put(key string, value []byte) {
	catalog.state.mutex.Lock()
	defer catalog.state.mutex.Unlock()

	catalog.state.write([]keeper.Put{{Key: key, Value: value}}, nil)
}

// Remove deletes a key, as the platform does.
func (catalog *Catalog) Remove(key string) {
	catalog.state.mutex.Lock()
	defer catalog.state.mutex.Unlock()

	catalog.state.write(nil, []string{key})
}

// Compact forgets the history.
func (catalog *Catalog) Compact() {
	catalog.state.mutex.Lock()
	defer catalog.state.mutex.Unlock()

	catalog.state.history = nil
	catalog.state.compacted = catalog.state.revision
	catalog.state.wake()
}

// Get implements keeper.Catalog.
func (catalog *Catalog) Get(ctx context.Context, key string) (keeper.Item, error) {
	if err := catalog.begin(ctx, "Get"); err != nil {
		return keeper.Item{}, err
	}

	catalog.state.mutex.Lock()
	defer catalog.state.mutex.Unlock()

	return catalog.state.read(key), nil
}

// Range implements keeper.Catalog.
func (catalog *Catalog) Range(ctx context.Context, prefix, after string, _ bool) (keeper.Page, error) {
	if err := catalog.begin(ctx, "Range"); err != nil {
		return keeper.Page{}, err
	}

	catalog.state.mutex.Lock()
	defer catalog.state.mutex.Unlock()

	page := keeper.Page{Revision: catalog.state.revision}

	for _, key := range slices.Sorted(maps.Keys(catalog.state.items)) {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}

		if len(page.Items) == pageItems {
			page.Truncated = true

			break
		}

		page.Items = append(page.Items, catalog.state.items[key])
	}

	return page, nil
}

// Watch implements keeper.Catalog.
func (catalog *Catalog) Watch(ctx context.Context, prefix string, after keeper.Revision, wait time.Duration) (keeper.Changes, error) {
	until := time.NewTimer(wait)
	defer until.Stop()

	for {
		if err := catalog.begin(ctx, "Watch"); err != nil {
			return keeper.Changes{}, err
		}

		changes, changed, err := catalog.state.since(prefix, after)
		if err != nil || len(changes.Events) > 0 {
			return changes, err
		}

		select {
		case <-changed:
		case <-until.C:
			return changes, nil
		case <-ctx.Done():
			return keeper.Changes{}, errors.Trace(ctx.Err())
		}
	}
}

// Transact implements keeper.Catalog.
func (catalog *Catalog) Transact(ctx context.Context, transaction keeper.Transaction) (keeper.TransactionResult, error) {
	if err := catalog.begin(ctx, "Transact"); err != nil {
		if ctx.Err() != nil {
			return keeper.TransactionResult{Applied: keeper.WriteUnknown}, err
		}

		return keeper.TransactionResult{Applied: keeper.WriteRefused}, err
	}

	if transaction.EntryCount() > keeper.MaxTransactionEntries {
		return keeper.TransactionResult{Applied: keeper.WriteRefused}, errors.NotValidf("transaction of %d entries", transaction.EntryCount())
	}

	if catalog.Faults.TakeDrop() {
		time.AfterFunc(catalog.Late, func() { _, _ = catalog.state.transact(transaction) })

		return keeper.TransactionResult{Applied: keeper.WriteUnknown}, errors.Trace(errLost)
	}

	return catalog.state.transact(transaction)
}

// Grant implements keeper.Catalog.
func (catalog *Catalog) Grant(ctx context.Context, duration time.Duration) (keeper.LeaseID, time.Duration, error) {
	if err := catalog.begin(ctx, "Grant"); err != nil {
		return 0, 0, err
	}

	state := catalog.state

	state.mutex.Lock()
	defer state.mutex.Unlock()

	state.lastLease++
	lease := state.lastLease
	state.leases[lease] = &catalogLease{duration: duration, timer: time.AfterFunc(duration, func() { state.end(lease) })}

	return lease, duration, nil
}

// Renew implements keeper.Catalog.
func (catalog *Catalog) Renew(ctx context.Context, lease keeper.LeaseID) error {
	if err := catalog.begin(ctx, "Renew"); err != nil {
		return err
	}

	catalog.state.mutex.Lock()
	defer catalog.state.mutex.Unlock()

	running, found := catalog.state.leases[lease]
	if !found {
		return errors.Trace(keeper.ErrLeaseEnded)
	}

	running.timer.Reset(running.duration)

	return nil
}

// Revoke implements keeper.Catalog.
func (catalog *Catalog) Revoke(ctx context.Context, lease keeper.LeaseID) error {
	if err := catalog.begin(ctx, "Revoke"); err != nil {
		return err
	}

	catalog.state.end(lease)

	return nil
}

// begin counts a call and applies the faults.
func (catalog *Catalog) begin(ctx context.Context, operation string) error {
	catalog.state.mutex.Lock()
	catalog.state.calls[operation]++
	catalog.state.mutex.Unlock()

	if catalog.Faults.Wait(ctx.Done()) {
		return nil
	}

	if ctx.Err() != nil {
		return errors.Trace(ctx.Err())
	}

	return errors.Trace(errOutage)
}

func (state *catalogState) read(key string) keeper.Item {
	if item, found := state.items[key]; found {
		return item
	}

	return keeper.Item{Key: key}
}

// since returns the changes after a revision, and a channel that is closed at
// the next change.
func (state *catalogState) since(prefix string, after keeper.Revision) (keeper.Changes, <-chan struct{}, error) {
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

func (state *catalogState) transact(transaction keeper.Transaction) (keeper.TransactionResult, error) {
	state.mutex.Lock()
	defer state.mutex.Unlock()

	refused := false
	present := []keeper.Item{}

	for _, condition := range transaction.Conditions {
		item := state.read(condition.Key)
		present = append(present, item)
		refused = refused || item.Revision != condition.Revision
	}

	if refused {
		return keeper.TransactionResult{Applied: keeper.WriteRefused, Present: present}, nil
	}

	for _, put := range transaction.Puts {
		if _, running := state.leases[put.Lease]; put.Lease != 0 && !running {
			return keeper.TransactionResult{Applied: keeper.WriteRefused}, errors.Trace(keeper.ErrLeaseEnded)
		}
	}

	state.write(transaction.Puts, transaction.Removes)

	return keeper.TransactionResult{Applied: keeper.WriteApplied, Revision: state.revision}, nil
}

// write changes keys in one revision, with the mutex held.
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

	state.wake()
}

// end ends a lease and removes its keys.
func (state *catalogState) end(lease keeper.LeaseID) {
	state.mutex.Lock()
	defer state.mutex.Unlock()

	running, found := state.leases[lease]
	if !found {
		return
	}

	running.timer.Stop()
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

func (state *catalogState) wake() {
	close(state.changed)
	state.changed = make(chan struct{})
}
