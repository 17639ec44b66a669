package keeper

import (
	"context"
	"time"

	"github.com/juju/errors"

	"limpetrail/kernel"
)

// LeaseID names a lease of a Catalog; 0 is none.
type LeaseID uint64

// Item is a key of a Catalog at its last change.
type Item struct {
	Key   string
	Value []byte
	// Revision is the catalog's revision of the last change, 0 for an absent key.
	Revision Revision
	// Created is the catalog's revision of the key's creation.
	Created Revision
	// Lease removes the key when it ends; 0 for a key that stays.
	Lease LeaseID
}

// Page is one part of a range.
type Page struct {
	Items []Item
	// Truncated tells that more keys follow the last item.
	Truncated bool
	// Revision is the catalog's revision of the answer.
	Revision Revision
}

// Change is an item as it was written, or the removal of its key.
type Change struct {
	Item
	Deleted bool
}

// Changes is what a watch saw.
type Changes struct {
	Events []Change
	// Revision is where the next watch continues.
	Revision Revision
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

// Transaction changes several keys or none.
type Transaction struct {
	// Conditions must all hold. A transaction without one can take effect
	// again when it is late, so there is always at least one.
	Conditions []Condition
	Puts       []Put
	Removes    []string
}

// MaxEntries is the most entries of a transaction that every Catalog takes. The
// platform's store answers larger ones with 400.
const MaxEntries = 32

// Entries is how many conditions, puts and removes the transaction has.
func (transaction Transaction) Entries() int {
	return len(transaction.Conditions) + len(transaction.Puts) + len(transaction.Removes)
}

// Committed tells what became of a transaction.
type Committed struct {
	Applied Applied
	// Revision is that of the written keys, if the transaction was applied.
	Revision Revision
	// Present holds the keys of the conditions as they are, if it was refused.
	Present []Item
}

// Catalog is a key-value service with one revision counter for all keys,
// ranges, leases and transactions of several keys.
type Catalog interface {
	// Get reads a key. An absent key has revision 0.
	Get(ctx context.Context, key string) (Item, error)
	// Range reads a page of the keys below a prefix that come after a key. A
	// stale read is cheaper and may be seconds old.
	Range(ctx context.Context, prefix, after string, stale bool) (Page, error)
	// Watch returns the changes below a prefix since a revision, and none
	// when nothing has changed in the time given. ErrCompacted means that the
	// history is gone and the prefix has to be read again.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (Changes, error)
	// Transact applies a transaction. The Applied result is valid with an error.
	Transact(ctx context.Context, transaction Transaction) (Committed, error)
	// Grant starts a lease. It may run shorter or longer than asked for.
	Grant(ctx context.Context, duration time.Duration) (LeaseID, time.Duration, error)
	// Renew starts the lease's time anew. ErrLeaseEnded means that it is over.
	Renew(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
}

// ErrCompacted is the cause of a watch whose history is gone.
var ErrCompacted = errors.New("the history of the key-value service is gone")

// ErrLeaseEnded is the cause of a call with a lease that is over.
var ErrLeaseEnded = errors.New("the lease has ended")

// CatalogFactory builds a Catalog for an address from the settings.
type CatalogFactory func(common kernel.Common, address string) (Catalog, error)

// Catalogs holds the adapters of key-value services with ranges by name.
var Catalogs = kernel.NewRegistry[CatalogFactory]("catalog adapter")
