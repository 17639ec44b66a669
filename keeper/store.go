package keeper

import (
	"context"
	"time"

	"limpetrail/kernel"
)

// MaxValueBytes is the largest value that the platform's service holds.
const MaxValueBytes = 1 << 20

// Revision counts the writes of one key; 0 means that the key is absent.
type Revision uint64

// Entry is a key's value at one revision.
type Entry struct {
	Key      string
	Value    []byte
	Revision Revision
}

// Applied tells what is known about a write.
type Applied int

// What is known about a write.
const (
	// WriteApplied means that the write took effect.
	WriteApplied Applied = iota
	// WriteRefused means that it did not and will not: the revision differed.
	WriteRefused
	// WriteUnknown means that the answer was lost. The writer settles it by
	// reading the key and looking for its own mark.
	WriteUnknown
)

// Lease is a right that ends by itself.
type Lease struct {
	Key string
	// Holder is the instance that holds the lease now.
	Holder string
	// Fence rises with each change of holder and never falls.
	Fence uint64
	// Granted tells whether the asker holds the lease.
	Granted bool
	// Remaining is how long the present holder still has, as of the answer.
	Remaining time.Duration
}

// Store is the platform's key-value service. Errors mean that the service
// gave no usable answer; see the Applied result for what became of a write.
type Store interface {
	// Get reads a key. An absent key has revision 0.
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap writes the value if the key is at the given revision
	// (0: absent). Entry is the state after the call where it is known.
	CompareAndSwap(ctx context.Context, key string, revision Revision, value []byte) (Entry, Applied, error)
	// Acquire takes or renews a lease. A lease held by another is reported,
	// not an error.
	Acquire(ctx context.Context, key, holder string, duration time.Duration) (Lease, error)
	// Watch waits until the key's revision is above the given one or the
	// context ends. It is a bounded long poll; callers poll again.
	Watch(ctx context.Context, key string, above Revision) (Entry, error)
}

// Factory builds a Store for an address from the settings.
type Factory func(common kernel.Common, address string) (Store, error)

// Adapters holds the adapters of the key-value service by name.
var Adapters = kernel.NewRegistry[Factory]("key-value adapter")
