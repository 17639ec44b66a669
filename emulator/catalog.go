package emulator

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"limpetrail/keeper"
)

// pageItems is the number of items of a page. It is low so that tests read more than
// one page.
const pageItems = 50

// Catalog emulates a key-value service with ranges, leases and transactions. Each view
// has its own faults, so that the service can fail for some of its clients only.
type Catalog struct {
	Faults *Faults
	// DroppedAnswerDelay delays the commit of each transaction whose answer is dropped.
	DroppedAnswerDelay time.Duration

	state *catalogState
}

var _ keeper.Catalog = (*Catalog)(nil)

// NewCatalog returns an empty catalog whose revision is above 0.
func NewCatalog() *Catalog {
	return &Catalog{Faults: NewFaults(), state: &catalogState{
		revision: 1,
		items:    map[string]keeper.Item{},
		leases:   map[keeper.LeaseID]*catalogLease{},
		changed:  make(chan struct{}),
		calls:    map[string]int{},

		valueBytes: keeper.MaxValueBytes,
	}}
}

// SetValueBytes sets the longest value that is accepted from now on.
func (catalog *Catalog) SetValueBytes(limit int) {
	catalog.state.mutex.Lock()
	defer catalog.state.mutex.Unlock()

	catalog.state.valueBytes = limit
}

// NewClient returns a view of the same catalog for another client.
func (catalog *Catalog) NewClient() *Catalog {
	return &Catalog{Faults: NewFaults(), state: catalog.state}
}

// CallCount returns how often an operation was called. A watch is counted again each time
// a change wakes it.
func (catalog *Catalog) CallCount(operation string) int {
	catalog.state.mutex.Lock()
	defer catalog.state.mutex.Unlock()

	return catalog.state.calls[operation]
}

// Put writes a key unconditionally, as the platform does.
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

// Compact discards the history of changes. Watches from an older revision fail.
func (catalog *Catalog) Compact() {
	catalog.state.mutex.Lock()
	defer catalog.state.mutex.Unlock()

	catalog.state.history = nil
	catalog.state.compacted = catalog.state.revision
	catalog.state.notifyWatchers()
}

// Get implements keeper.Catalog.
func (catalog *Catalog) Get(ctx context.Context, key string) (keeper.Item, error) {
	if err := catalog.startCall(ctx, "Get"); err != nil {
		return keeper.Item{}, err
	}

	catalog.state.mutex.Lock()
	defer catalog.state.mutex.Unlock()

	return catalog.state.itemAt(key), nil
}

// Range implements keeper.Catalog.
func (catalog *Catalog) Range(ctx context.Context, prefix, after string, _ bool) (keeper.Page, error) {
	if err := catalog.startCall(ctx, "Range"); err != nil {
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
	timer := time.NewTimer(wait)
	defer timer.Stop()

	for {
		if err := catalog.startCall(ctx, "Watch"); err != nil {
			return keeper.Changes{}, err
		}

		changes, changed, err := catalog.state.changesAfter(prefix, after)
		if err != nil || len(changes.Events) > 0 {
			return changes, err
		}

		select {
		case <-changed:
		case <-timer.C:
			return changes, nil
		case <-ctx.Done():
			return keeper.Changes{}, errors.Trace(ctx.Err())
		}
	}
}

// Transact implements keeper.Catalog.
func (catalog *Catalog) Transact(ctx context.Context, transaction keeper.Transaction) (keeper.TransactionResult, error) {
	if err := catalog.startCall(ctx, "Transact"); err != nil {
		if ctx.Err() != nil {
			return keeper.TransactionResult{Applied: keeper.WriteUnknown}, err
		}

		return keeper.TransactionResult{Applied: keeper.WriteRefused}, err
	}

	if err := catalog.state.reject(transaction); err != nil {
		return keeper.TransactionResult{Applied: keeper.WriteRefused}, err
	}

	if catalog.Faults.ConsumeDroppedAnswer() {
		time.AfterFunc(catalog.DroppedAnswerDelay, func() { _, _ = catalog.state.transact(transaction) })

		return keeper.TransactionResult{Applied: keeper.WriteUnknown}, errors.Trace(errLost)
	}

	return catalog.state.transact(transaction)
}

// Grant implements keeper.Catalog.
func (catalog *Catalog) Grant(ctx context.Context, duration time.Duration) (keeper.LeaseID, time.Duration, error) {
	if err := catalog.startCall(ctx, "Grant"); err != nil {
		return 0, 0, err
	}

	state := catalog.state

	state.mutex.Lock()
	defer state.mutex.Unlock()

	state.lastLease++
	lease := state.lastLease
	state.leases[lease] = &catalogLease{duration: duration, timer: time.AfterFunc(duration, func() { state.endLease(lease) })}

	return lease, duration, nil
}

// Renew implements keeper.Catalog.
func (catalog *Catalog) Renew(ctx context.Context, lease keeper.LeaseID) error {
	if err := catalog.startCall(ctx, "Renew"); err != nil {
		return err
	}

	catalog.state.mutex.Lock()
	defer catalog.state.mutex.Unlock()

	active, found := catalog.state.leases[lease]
	if !found {
		return errors.Trace(keeper.ErrLeaseEnded)
	}

	active.timer.Reset(active.duration)

	return nil
}

// Revoke implements keeper.Catalog.
func (catalog *Catalog) Revoke(ctx context.Context, lease keeper.LeaseID) error {
	if err := catalog.startCall(ctx, "Revoke"); err != nil {
		return err
	}

	catalog.state.endLease(lease)

	return nil
}

// startCall counts a call and applies the injected faults to it.
func (catalog *Catalog) startCall(ctx context.Context, operation string) error {
	catalog.state.mutex.Lock()
	catalog.state.calls[operation]++
	catalog.state.mutex.Unlock()

	if catalog.Faults.Apply(ctx.Done()) {
		return nil
	}

	if ctx.Err() != nil {
		return errors.Trace(ctx.Err())
	}

	return errors.Trace(errOutage)
}
