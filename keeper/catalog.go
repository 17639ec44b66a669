package keeper

import (
	"context"
	"time"

	"github.com/juju/errors"

	"limpetrail/kernel"
)

// LeaseID identifies a lease of a Catalog; 0 means none.
type LeaseID uint64

// Item is a key of a Catalog with its value.
type Item struct {
	Key   string
	Value []byte
	// Revision is the catalog's revision at the key's last change, 0 for an absent key.
	Revision Revision
	// Created is the catalog's revision at the key's creation.
	Created Revision
	// Lease is the lease whose end removes the key; 0 for a key without a lease.
	Lease LeaseID
}

// Page is one part of a range.
type Page struct {
	Items []Item
	// Truncated is true if more keys follow the last item.
	Truncated bool
	// Revision is the catalog's revision at the read.
	Revision Revision
}

// Change is an item as it was written, or the removal of its key.
type Change struct {
	Item
	Deleted bool
}

// Changes is the result of a watch.
type Changes struct {
	Events []Change
	// Revision is the revision from which the next watch continues.
	Revision Revision
	// Asked is when a CatalogClient began the call that was answered. A watch that failed
	// before it was repeated in another way began earlier.
	Asked time.Time
}

// Condition holds if the key is at the revision; 0 means that it is absent.
type Condition struct {
	Key      string
	Revision Revision
}

// Put writes one key in a transaction.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Transaction changes several keys atomically.
type Transaction struct {
	// Conditions must all hold. There is always at least one, because a delayed
	// copy of a transaction without conditions could take effect again.
	Conditions []Condition
	Puts       []Put
	Removes    []string
}

// MaxTransactionEntries is the largest number of entries in a transaction that every
// Catalog accepts. The platform's store answers larger ones with status 400.
const MaxTransactionEntries = 32

// EntryCount returns the number of conditions, puts and removes.
func (transaction Transaction) EntryCount() int {
	return len(transaction.Conditions) + len(transaction.Puts) + len(transaction.Removes)
}

// TransactionResult is the result of a transaction.
type TransactionResult struct {
	Applied WriteOutcome
	// Revision is the revision of the written keys, if the transaction was applied.
	Revision Revision
	// Present holds the current items of the conditions' keys, if the transaction
	// was refused.
	Present []Item
}

// Catalog is a key-value service with one revision counter for all keys,
// ranges, leases and transactions of several keys.
type Catalog interface {
	// Get reads a key. An absent key has revision 0.
	Get(ctx context.Context, key string) (Item, error)
	// Range reads a page of the keys with a prefix, starting after a key. A stale
	// read costs the service less and may be seconds old.
	Range(ctx context.Context, prefix, after string, stale bool) (Page, error)
	// Watch is a long poll. It returns the changes of keys with a prefix since a
	// revision, or none if nothing changes within the wait. ErrCompacted means that
	// the history since the revision was deleted and the prefix must be read again.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (Changes, error)
	// Transact applies a transaction. The result's Applied is valid even if there is
	// an error.
	Transact(ctx context.Context, transaction Transaction) (TransactionResult, error)
	// Grant creates a lease. Its duration, also returned, may be shorter or longer
	// than the requested one.
	Grant(ctx context.Context, duration time.Duration) (LeaseID, time.Duration, error)
	// Renew extends the lease by its full duration. ErrLeaseEnded means that it has
	// expired or was revoked.
	Renew(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
}

// ErrCompacted is the cause if the history that a watch needs was deleted, or is too long to
// be read at once.
var ErrCompacted = errors.New("the history of the key-value service is gone")

// ErrLeaseEnded is the cause if a call's lease has expired or was revoked.
var ErrLeaseEnded = errors.New("the lease has ended")

// ErrRejected is the cause if a working service rejected a call for what it asks, such as a value
// that is too long. The same call never succeeds.
var ErrRejected = errors.New("the key-value service rejects the call")

// CatalogAdapterFactory creates a Catalog for an address from the settings.
type CatalogAdapterFactory func(common kernel.Common, address string) (Catalog, error)

// CatalogAdapters is the registry of Catalog adapters.
var CatalogAdapters = kernel.NewRegistry[CatalogAdapterFactory]("catalog adapter")
