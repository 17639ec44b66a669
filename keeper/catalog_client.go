package keeper

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"limpetrail/kernel"
)

// watchSlack is how much longer than its own time a watch may take to answer:
// twice the time of an answer of a service that is sixty times as slow as usual.
const watchSlack = 500 * time.Millisecond

// CatalogClient is a process's one way to its Catalog: each call has a
// deadline, and calls stop while the service fails.
type CatalogClient struct {
	kernel.Common
	Settings Settings
	Catalog  Catalog
	Breaker  *Breaker

	// failedAt is when a call last failed, in nanoseconds since the epoch of
	// started; 0 if none did.
	failedAt atomic.Int64
	started  time.Time
}

var _ Catalog = (*CatalogClient)(nil)

// NewCatalogClient returns a client in front of an adapter.
func NewCatalogClient(common kernel.Common, catalog Catalog, settings Settings) *CatalogClient {
	return &CatalogClient{
		Common:   common.ForPart("keeper"),
		Settings: settings,
		Catalog:  catalog,
		Breaker:  NewBreaker(settings.Failures, settings.FirstProbe, settings.LastProbe),
		started:  time.Now(),
	}
}

// FailedWithin tells whether a call failed in that time up to now.
func (client *CatalogClient) FailedWithin(duration time.Duration) bool {
	failed := client.failedAt.Load()

	return failed != 0 && time.Since(client.started)-time.Duration(failed) < duration
}

// Get implements Catalog.
func (client *CatalogClient) Get(ctx context.Context, key string) (Item, error) {
	return guarded(ctx, client, client.Settings.CallTimeout, func(ctx context.Context) (Item, error) {
		return client.Catalog.Get(ctx, key)
	})
}

// Range implements Catalog.
func (client *CatalogClient) Range(ctx context.Context, prefix, after string, stale bool) (Page, error) {
	return guarded(ctx, client, client.Settings.CallTimeout, func(ctx context.Context) (Page, error) {
		return client.Catalog.Range(ctx, prefix, after, stale)
	})
}

// RangeAll reads all pages below a prefix.
func (client *CatalogClient) RangeAll(ctx context.Context, prefix string) ([]Item, Revision, error) {
	items := []Item{}
	after := ""

	for revision := Revision(0); ; {
		page, err := client.Range(ctx, prefix, after, false)
		if err != nil {
			return nil, 0, errors.Trace(err)
		}

		// A watch from the first page's revision also sees what later pages missed.
		if revision == 0 {
			revision = page.Revision
		}

		items = append(items, page.Items...)
		if !page.Truncated || len(page.Items) == 0 {
			return items, revision, nil
		}

		after = page.Items[len(page.Items)-1].Key
	}
}

// Watch implements Catalog.
func (client *CatalogClient) Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (Changes, error) {
	return guarded(ctx, client, wait+watchSlack, func(ctx context.Context) (Changes, error) {
		return client.Catalog.Watch(ctx, prefix, after, wait)
	})
}

// Transact implements Catalog. A transaction that was not sent is refused.
func (client *CatalogClient) Transact(ctx context.Context, transaction Transaction) (Committed, error) {
	committed := Committed{Applied: WriteRefused}

	_, err := guarded(ctx, client, client.Settings.CallTimeout, func(ctx context.Context) (Committed, error) {
		var err error
		committed, err = client.Catalog.Transact(ctx, transaction)

		return committed, err
	})

	return committed, errors.Trace(err)
}

// Grant implements Catalog.
func (client *CatalogClient) Grant(ctx context.Context, duration time.Duration) (LeaseID, time.Duration, error) {
	granted := duration

	lease, err := guarded(ctx, client, client.Settings.CallTimeout, func(ctx context.Context) (LeaseID, error) {
		var (
			lease LeaseID
			err   error
		)

		lease, granted, err = client.Catalog.Grant(ctx, duration)

		return lease, err
	})

	return lease, granted, errors.Trace(err)
}

// Renew implements Catalog.
func (client *CatalogClient) Renew(ctx context.Context, lease LeaseID) error {
	_, err := guarded(ctx, client, client.Settings.CallTimeout, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, client.Catalog.Renew(ctx, lease)
	})

	return errors.Trace(err)
}

// Revoke implements Catalog.
func (client *CatalogClient) Revoke(ctx context.Context, lease LeaseID) error {
	_, err := guarded(ctx, client, client.Settings.CallTimeout, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, client.Catalog.Revoke(ctx, lease)
	})

	return errors.Trace(err)
}

// guarded makes one call within its deadline, unless the breaker is open.
func guarded[T any](ctx context.Context, client *CatalogClient, timeout time.Duration, call func(context.Context) (T, error)) (T, error) {
	if !client.Breaker.Allow() {
		var none T

		return none, errors.Trace(ErrUnavailable)
	}

	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	result, err := call(bounded)
	// A caller that leaves says nothing about the service.
	if err == nil || ctx.Err() == nil || errors.Is(err, ErrCompacted) || errors.Is(err, ErrLeaseEnded) {
		client.observe(err)
	}

	return result, errors.Trace(err)
}

func (client *CatalogClient) observe(err error) {
	succeeded := err == nil || errors.Is(err, ErrCompacted) || errors.Is(err, ErrLeaseEnded)
	if !succeeded {
		client.failedAt.Store(int64(time.Since(client.started)))
		client.Metrics.Counter("failed_calls").Inc(1)
	}

	if !client.Breaker.Observe(succeeded) {
		return
	}

	if succeeded {
		client.Log.Warn("Key-value service is back.")

		return
	}

	client.Log.WithFields(logrus.Fields{"Error": err, "Failures": client.Breaker.Failures}).Warn("Key-value service is lost.")
}
