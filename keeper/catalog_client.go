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
// deadline, and calls stop while the service fails. With a relay they go
// through another process meanwhile, since the service may turn away some
// processes and serve others.
type CatalogClient struct {
	kernel.Common
	Settings Settings
	Catalog  Catalog
	Breaker  *Breaker
	// Relay is nil where there is no other way.
	Relay        Catalog
	RelayBreaker *Breaker

	// failedAt is when a call last failed, in nanoseconds since the epoch of
	// started; 0 if none did.
	failedAt atomic.Int64
	started  time.Time
}

var _ Catalog = (*CatalogClient)(nil)

// CatalogOption changes a CatalogClient at construction.
type CatalogOption func(*CatalogClient)

// WithRelay sets another way to the service.
func WithRelay(relay Catalog) CatalogOption {
	return func(client *CatalogClient) { client.Relay = relay }
}

// NewCatalogClient returns a client in front of an adapter.
func NewCatalogClient(common kernel.Common, catalog Catalog, settings Settings, options ...CatalogOption) *CatalogClient {
	client := &CatalogClient{
		Common:       common.ForPart("keeper"),
		Settings:     settings,
		Catalog:      catalog,
		Breaker:      NewBreaker(settings.Failures, settings.FirstProbe, settings.LastProbe),
		RelayBreaker: NewBreaker(settings.Failures, settings.FirstProbe, settings.LastProbe),
		started:      time.Now(),
	}
	for _, option := range options {
		option(client)
	}

	return client
}

// Direct returns a client that shares the direct way and has no relay.
func (client *CatalogClient) Direct() *CatalogClient {
	direct := NewCatalogClient(client.Common, client.Catalog, client.Settings)
	direct.Breaker = client.Breaker

	return direct
}

// FailedWithin tells whether a call failed in that time up to now.
func (client *CatalogClient) FailedWithin(duration time.Duration) bool {
	failed := client.failedAt.Load()

	return failed != 0 && time.Since(client.started)-time.Duration(failed) < duration
}

// Get implements Catalog.
func (client *CatalogClient) Get(ctx context.Context, key string) (Item, error) {
	return guarded(ctx, client, client.Settings.CallTimeout, func(ctx context.Context, catalog Catalog) (Item, error) {
		return catalog.Get(ctx, key)
	})
}

// Range implements Catalog.
func (client *CatalogClient) Range(ctx context.Context, prefix, after string, stale bool) (Page, error) {
	return guarded(ctx, client, client.Settings.CallTimeout, func(ctx context.Context, catalog Catalog) (Page, error) {
		return catalog.Range(ctx, prefix, after, stale)
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
	return guarded(ctx, client, wait+watchSlack, func(ctx context.Context, catalog Catalog) (Changes, error) {
		return catalog.Watch(ctx, prefix, after, wait)
	})
}

// Transact implements Catalog. A transaction that was not sent is refused. While
// the direct way fails, reads find out whether it is back: a write whose answer
// is lost there could be sent on no other way.
func (client *CatalogClient) Transact(ctx context.Context, transaction Transaction) (Committed, error) {
	call := func(ctx context.Context, catalog Catalog) (Committed, error) {
		return catalog.Transact(ctx, transaction)
	}

	if client.Relay != nil && client.Breaker.Open() && !client.RelayBreaker.Open() {
		committed, err := tried(ctx, client, client.RelayBreaker, client.Relay, client.Settings.CallTimeout+relaySlack, call)
		if err == nil || semantic(err) || unsettled(committed) {
			client.Metrics.Counter("relayed_calls").Inc(1)

			return committed, errors.Trace(err)
		}
	}

	return guarded(ctx, client, client.Settings.CallTimeout, call)
}

// Grant implements Catalog.
func (client *CatalogClient) Grant(ctx context.Context, duration time.Duration) (LeaseID, time.Duration, error) {
	granted := duration

	lease, err := guarded(ctx, client, client.Settings.CallTimeout, func(ctx context.Context, catalog Catalog) (LeaseID, error) {
		var (
			lease LeaseID
			err   error
		)

		lease, granted, err = catalog.Grant(ctx, duration)

		return lease, err
	})

	return lease, granted, errors.Trace(err)
}

// Renew implements Catalog.
func (client *CatalogClient) Renew(ctx context.Context, lease LeaseID) error {
	_, err := guarded(ctx, client, client.Settings.CallTimeout, func(ctx context.Context, catalog Catalog) (struct{}, error) {
		return struct{}{}, catalog.Renew(ctx, lease)
	})

	return errors.Trace(err)
}

// Revoke implements Catalog.
func (client *CatalogClient) Revoke(ctx context.Context, lease LeaseID) error {
	_, err := guarded(ctx, client, client.Settings.CallTimeout, func(ctx context.Context, catalog Catalog) (struct{}, error) {
		return struct{}{}, catalog.Revoke(ctx, lease)
	})

	return errors.Trace(err)
}

// guarded makes one call, first on the direct way. What certainly was not done
// there is tried through the relay.
func guarded[T any](ctx context.Context, client *CatalogClient, timeout time.Duration, call func(context.Context, Catalog) (T, error)) (T, error) {
	result, err := tried(ctx, client, client.Breaker, client.Catalog, timeout, call)
	if err == nil || client.Relay == nil || ctx.Err() != nil || semantic(err) || unsettled(result) {
		return result, errors.Trace(err)
	}

	relayed, relayErr := tried(ctx, client, client.RelayBreaker, client.Relay, timeout+relaySlack, call)
	if relayErr != nil && !semantic(relayErr) && !unsettled(relayed) {
		return result, errors.Trace(err)
	}

	client.Metrics.Counter("relayed_calls").Inc(1)

	return relayed, errors.Trace(relayErr)
}

// relaySlack is what a call through another process takes longer.
const relaySlack = 200 * time.Millisecond

// tried makes one call on one way within its deadline, unless the way's
// breaker is open.
func tried[T any](ctx context.Context, client *CatalogClient, breaker *Breaker, catalog Catalog, timeout time.Duration, call func(context.Context, Catalog) (T, error)) (T, error) {
	if !breaker.Allow() {
		var none T

		return refused(none), errors.Trace(ErrUnavailable)
	}

	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	result, err := call(bounded, catalog)
	// A caller that leaves says nothing about the service.
	if err == nil || ctx.Err() == nil || semantic(err) {
		client.observe(breaker, err)
	}

	return result, errors.Trace(err)
}

// refused marks a transaction that was not sent.
func refused[T any](none T) T {
	if committed, ok := any(&none).(*Committed); ok {
		committed.Applied = WriteRefused
	}

	return none
}

// unsettled tells whether a result is a transaction of unknown fate. Only its
// writer may propose it again.
func unsettled[T any](result T) bool {
	committed, ok := any(result).(Committed)

	return ok && committed.Applied == WriteUnknown
}

// semantic errors are answers of a service that works.
func semantic(err error) bool {
	return errors.Is(err, ErrCompacted) || errors.Is(err, ErrLeaseEnded)
}

func (client *CatalogClient) observe(breaker *Breaker, err error) {
	succeeded := err == nil || semantic(err)
	if !succeeded {
		client.failedAt.Store(max(1, int64(time.Since(client.started))))
		client.Metrics.Counter("failed_calls").Inc(1)
	}

	if !breaker.Observe(succeeded) {
		return
	}

	line := client.Log.WithField("Relay", breaker == client.RelayBreaker)
	if succeeded {
		line.Warn("Key-value service is back.")

		return
	}

	line.WithFields(logrus.Fields{"Error": err, "Failures": breaker.Failures}).Warn("Key-value service is lost.")
}
