package keeper

import (
	"context"
	"time"

	"limpetrail/kernel"
)

// MaxValueBytes is the largest value that the platform's service accepts.
const MaxValueBytes = 1 << 20

// Revision counts the writes of one key; 0 means that the key is absent.
type Revision uint64

// Entry is a key's value at one revision.
type Entry struct {
	Key      string
	Value    []byte
	Revision Revision
}

// WriteOutcome is the outcome of a write.
type WriteOutcome int

// Outcomes of a write.
const (
	// WriteApplied means that the write took effect.
	WriteApplied WriteOutcome = iota
	// WriteRefused means that the write did not and will not take effect, for
	// example because the key is at another revision.
	WriteRefused
	// WriteUnknown means that the answer was lost. The writer finds the outcome by
	// reading the key and looking for its own mark.
	WriteUnknown
)

// Lease is a right to a key that expires unless it is renewed.
type Lease struct {
	Key string
	// Holder is the instance that currently holds the lease.
	Holder string
	// Fence increases with each change of holder and never decreases.
	Fence uint64
	// Granted is true if the caller holds the lease.
	Granted bool
	// Remaining is the time until the lease expires, as of the answer.
	Remaining time.Duration
}

// Store is the platform's key-value service. An error means that the service gave
// no usable answer; the WriteOutcome of a write is valid even then.
type Store interface {
	// Get reads a key. An absent key has revision 0.
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap writes the value if the key is at the given revision
	// (0: absent). Entry is the key's state after the call, if known.
	CompareAndSwap(ctx context.Context, key string, revision Revision, value []byte) (Entry, WriteOutcome, error)
	// Acquire acquires or renews a lease. If another instance holds it, the result
	// says so without an error.
	Acquire(ctx context.Context, key, holder string, duration time.Duration) (Lease, error)
	// Watch waits until the key's revision is above the given one or the
	// context ends. It is a bounded long poll; callers poll again.
	Watch(ctx context.Context, key string, above Revision) (Entry, error)
}

// StoreAdapterFactory creates a Store for an address from the settings.
type StoreAdapterFactory func(common kernel.Common, address string) (Store, error)

// StoreAdapters is the registry of Store adapters.
var StoreAdapters = kernel.NewRegistry[StoreAdapterFactory]("key-value adapter")
