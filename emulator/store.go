package emulator

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"limpetrail/keeper"
)

// Store emulates the platform's key-value service.
type Store struct {
	Faults *Faults

	mutex   sync.Mutex
	entries map[string]keeper.Entry
	leases  map[string]storedLease
	// changed is closed and replaced at each write.
	changed chan struct{}
	calls   map[string]int
}

type storedLease struct {
	holder string
	fence  uint64
	expiry time.Time
}

var _ keeper.Store = (*Store)(nil)

// errOutage is the error of a call during an injected outage.
var errOutage = errors.New("the service is down")

// errLost is the error of a call that may have taken effect but whose answer was lost.
var errLost = errors.New("the connection closed before the answer")

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		Faults:  NewFaults(),
		entries: map[string]keeper.Entry{},
		leases:  map[string]storedLease{},
		changed: make(chan struct{}),
		calls:   map[string]int{},
	}
}

// Get implements keeper.Store.
func (store *Store) Get(ctx context.Context, key string) (keeper.Entry, error) {
	if !store.Faults.Apply(ctx.Done()) {
		return keeper.Entry{}, errors.Trace(errOutage)
	}

	store.mutex.Lock()
	defer store.mutex.Unlock()

	store.calls["Get"]++

	return store.entryAt(key), nil
}

// CompareAndSwap implements keeper.Store.
func (store *Store) CompareAndSwap(ctx context.Context, key string, revision keeper.Revision, value []byte) (keeper.Entry, keeper.WriteOutcome, error) {
	if len(value) > keeper.MaxValueBytes {
		return keeper.Entry{}, keeper.WriteRefused, errors.NotValidf("value of %d bytes", len(value))
	}

	if !store.Faults.Apply(ctx.Done()) {
		return keeper.Entry{}, keeper.WriteUnknown, errors.Trace(errOutage)
	}

	entry, applied := store.swap(key, revision, value)

	if store.Faults.ConsumeDroppedAnswer() {
		return keeper.Entry{}, keeper.WriteUnknown, errors.Trace(errLost)
	}

	return entry, applied, nil
}

func (store *Store) swap(key string, revision keeper.Revision, value []byte) (keeper.Entry, keeper.WriteOutcome) {
	store.mutex.Lock()
	defer store.mutex.Unlock()

	store.calls["CompareAndSwap"]++

	present := store.entryAt(key)
	if present.Revision != revision {
		return present, keeper.WriteRefused
	}

	entry := keeper.Entry{Key: key, Value: bytes.Clone(value), Revision: revision + 1}
	store.entries[key] = entry
	close(store.changed)
	store.changed = make(chan struct{})

	return entry, keeper.WriteApplied
}

// Acquire implements keeper.Store.
func (store *Store) Acquire(ctx context.Context, key, holder string, duration time.Duration) (keeper.Lease, error) {
	if !store.Faults.Apply(ctx.Done()) {
		return keeper.Lease{}, errors.Trace(errOutage)
	}

	lease := store.acquire(key, holder, duration)

	if store.Faults.ConsumeDroppedAnswer() {
		return keeper.Lease{}, errors.Trace(errLost)
	}

	return lease, nil
}

func (store *Store) acquire(key, holder string, duration time.Duration) keeper.Lease {
	store.mutex.Lock()
	defer store.mutex.Unlock()

	store.calls["Acquire"]++

	lease := store.leases[key]
	expired := !time.Now().Before(lease.expiry)

	switch {
	case lease.holder == holder && !expired:
		lease.expiry = time.Now().Add(duration)
	case expired:
		lease = storedLease{holder: holder, fence: lease.fence + 1, expiry: time.Now().Add(duration)}
	}

	store.leases[key] = lease

	return keeper.Lease{
		Key:       key,
		Holder:    lease.holder,
		Fence:     lease.fence,
		Granted:   lease.holder == holder,
		Remaining: time.Until(lease.expiry),
	}
}

// Watch implements keeper.Store.
func (store *Store) Watch(ctx context.Context, key string, above keeper.Revision) (keeper.Entry, error) {
	for counted := false; ; counted = true {
		if !store.Faults.Apply(ctx.Done()) {
			return keeper.Entry{}, errors.Trace(errOutage)
		}

		store.mutex.Lock()
		if !counted {
			store.calls["Watch"]++
		}
		entry, changed := store.entryAt(key), store.changed
		store.mutex.Unlock()

		if entry.Revision > above {
			return entry, nil
		}

		select {
		case <-changed:
		case <-ctx.Done():
			return entry, nil
		}
	}
}

// CallCounts returns the number of calls of each operation that took effect.
func (store *Store) CallCounts() map[string]int {
	store.mutex.Lock()
	defer store.mutex.Unlock()

	calls := make(map[string]int, len(store.calls))
	for name, count := range store.calls {
		calls[name] = count
	}

	return calls
}

// entryAt returns the entry of a key, or one of revision 0 if there is none. The caller
// holds the mutex.
func (store *Store) entryAt(key string) keeper.Entry {
	entry, found := store.entries[key]
	if !found {
		return keeper.Entry{Key: key}
	}

	return entry
}
