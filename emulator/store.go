package emulator

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"limpetrail/keeper"
)

// Store stands in for the platform's key-value service.
type Store struct {
	Faults *Faults

	mutex   sync.Mutex
	entries map[string]keeper.Entry
	leases  map[string]heldLease
	// changed is closed and replaced at each write.
	changed chan struct{}
	calls   map[string]int
}

type heldLease struct {
	holder string
	fence  uint64
	until  time.Time
}

var _ keeper.Store = (*Store)(nil)

// errOutage is the answer of a stand-in that is down.
var errOutage = errors.New("the service is down")

// errLost is what a caller sees of a lost answer.
var errLost = errors.New("the connection closed before the answer")

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		Faults:  NewFaults(),
		entries: map[string]keeper.Entry{},
		leases:  map[string]heldLease{},
		changed: make(chan struct{}),
		calls:   map[string]int{},
	}
}

// Get implements keeper.Store.
func (store *Store) Get(ctx context.Context, key string) (keeper.Entry, error) {
	if !store.Faults.Wait(ctx.Done()) {
		return keeper.Entry{}, errors.Trace(errOutage)
	}

	store.mutex.Lock()
	defer store.mutex.Unlock()

	store.calls["Get"]++

	return store.read(key), nil
}

// CompareAndSwap implements keeper.Store.
func (store *Store) CompareAndSwap(ctx context.Context, key string, revision keeper.Revision, value []byte) (keeper.Entry, keeper.WriteOutcome, error) {
	if len(value) > keeper.MaxValueBytes {
		return keeper.Entry{}, keeper.WriteRefused, errors.NotValidf("value of %d bytes", len(value))
	}

	if !store.Faults.Wait(ctx.Done()) {
		return keeper.Entry{}, keeper.WriteUnknown, errors.Trace(errOutage)
	}

	entry, applied := store.swap(key, revision, value)

	if store.Faults.TakeDrop() {
		return keeper.Entry{}, keeper.WriteUnknown, errors.Trace(errLost)
	}

	return entry, applied, nil
}

func (store *Store) swap(key string, revision keeper.Revision, value []byte) (keeper.Entry, keeper.WriteOutcome) {
	store.mutex.Lock()
	defer store.mutex.Unlock()

	store.calls["CompareAndSwap"]++

	present := store.read(key)
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
	if !store.Faults.Wait(ctx.Done()) {
		return keeper.Lease{}, errors.Trace(errOutage)
	}

	lease := store.acquire(key, holder, duration)

	if store.Faults.TakeDrop() {
		return keeper.Lease{}, errors.Trace(errLost)
	}

	return lease, nil
}

func (store *Store) acquire(key, holder string, duration time.Duration) keeper.Lease {
	store.mutex.Lock()
	defer store.mutex.Unlock()

	store.calls["Acquire"]++

	held := store.leases[key]
	lapsed := !time.Now().Before(held.until)

	switch {
	case held.holder == holder && !lapsed:
		held.until = time.Now().Add(duration)
	case lapsed:
		held = heldLease{holder: holder, fence: held.fence + 1, until: time.Now().Add(duration)}
	}

	store.leases[key] = held

	return keeper.Lease{
		Key:       key,
		Holder:    held.holder,
		Fence:     held.fence,
		Granted:   held.holder == holder,
		Remaining: time.Until(held.until),
	}
}

// Watch implements keeper.Store.
func (store *Store) Watch(ctx context.Context, key string, above keeper.Revision) (keeper.Entry, error) {
	for counted := false; ; counted = true {
		if !store.Faults.Wait(ctx.Done()) {
			return keeper.Entry{}, errors.Trace(errOutage)
		}

		store.mutex.Lock()
		if !counted {
			store.calls["Watch"]++
		}
		entry, changed := store.read(key), store.changed
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

// Calls returns how many calls of each operation took effect.
func (store *Store) Calls() map[string]int {
	store.mutex.Lock()
	defer store.mutex.Unlock()

	calls := make(map[string]int, len(store.calls))
	for name, count := range store.calls {
		calls[name] = count
	}

	return calls
}

// read returns the entry, or an absent one, with the mutex held.
func (store *Store) read(key string) keeper.Entry {
	entry, found := store.entries[key]
	if !found {
		return keeper.Entry{Key: key}
	}

	return entry
}
