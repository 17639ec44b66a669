package keeper

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"limpetrail/kernel"
)

// watchDeadlineSlack is how much longer than its wait a watch may take: twice the
// response time of a service that is sixty times slower than usual.
const watchDeadlineSlack = 500 * time.Millisecond

// probeWatchWait is how long a watch waits for changes if it probes a failing service.
const probeWatchWait = 100 * time.Millisecond

// CatalogClient makes all of a process's calls to its Catalog. Each call has a
// deadline, and a breaker stops calls while the service fails. With a relay, failing
// calls are made through another process, since the service may refuse some
// processes and serve others.
type CatalogClient struct {
	kernel.Common
	Settings Settings
	Catalog  Catalog
	Breaker  *Breaker
	// Relay makes calls through another process; it may be nil.
	Relay        Catalog
	RelayBreaker *Breaker

	// lastFailure is when a call last failed, in nanoseconds since started; 0 if no
	// call has failed.
	lastFailure atomic.Int64
	started     time.Time

	outageMutex sync.Mutex
	outage      Outage
}

var _ Catalog = (*CatalogClient)(nil)

// CatalogOption configures a CatalogClient.
type CatalogOption func(*CatalogClient)

// WithRelay sets the Catalog that is used while direct calls fail.
func WithRelay(relay Catalog) CatalogOption {
	return func(client *CatalogClient) { client.Relay = relay }
}

// NewCatalogClient returns a client that calls an adapter.
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

// WithoutRelay returns a client without a relay that shares this client's adapter and
// direct breaker.
func (client *CatalogClient) WithoutRelay() *CatalogClient {
	direct := NewCatalogClient(client.Common, client.Catalog, client.Settings)
	direct.Breaker = client.Breaker

	return direct
}

// FailedWithin returns whether a call failed within the last duration.
func (client *CatalogClient) FailedWithin(duration time.Duration) bool {
	failure := client.lastFailure.Load()

	return failure != 0 && time.Since(client.started)-time.Duration(failure) < duration
}

// Outage returns the last outage of the direct way to the service. Single failures are none.
func (client *CatalogClient) Outage() Outage {
	client.outageMutex.Lock()
	defer client.outageMutex.Unlock()

	return client.outage
}

// Get implements Catalog.
func (client *CatalogClient) Get(ctx context.Context, key string) (Item, error) {
	return callWithFallback(ctx, client, client.Settings.CallTimeout, func(ctx context.Context, catalog Catalog) (Item, error) {
		return catalog.Get(ctx, key)
	})
}

// Range implements Catalog.
func (client *CatalogClient) Range(ctx context.Context, prefix, after string, stale bool) (Page, error) {
	return callWithFallback(ctx, client, client.Settings.CallTimeout, func(ctx context.Context, catalog Catalog) (Page, error) {
		return catalog.Range(ctx, prefix, after, stale)
	})
}

// RangeAll reads all keys with a prefix, page by page.
func (client *CatalogClient) RangeAll(ctx context.Context, prefix string) ([]Item, Revision, error) {
	items := []Item{}
	after := ""

	for revision := Revision(0); ; {
		page, err := client.Range(ctx, prefix, after, false)
		if err != nil {
			return nil, 0, errors.Trace(err)
		}

		// A watch from the first page's revision also returns changes made while the
		// later pages were read.
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
	return callWithFallback(ctx, client, wait+watchDeadlineSlack, func(ctx context.Context, catalog Catalog) (Changes, error) {
		callWait := wait

		if catalog == client.Catalog && client.Breaker.IsOpen() {
			// Other calls go without the service until the result of this probe is known.
			callWait = min(wait, probeWatchWait)

			probeCtx, cancel := context.WithTimeout(ctx, callWait+watchDeadlineSlack)
			defer cancel()

			ctx = probeCtx
		}

		asked := time.Now()
		changes, err := catalog.Watch(ctx, prefix, after, callWait)
		changes.Asked = asked

		return changes, errors.Trace(err)
	})
}

// Transact implements Catalog. A transaction that was not sent is WriteRefused.
// While the direct breaker is open, writes use the relay first and only reads probe
// the direct path: a write that loses its answer there could not be sent again
// through the relay.
func (client *CatalogClient) Transact(ctx context.Context, transaction Transaction) (TransactionResult, error) {
	call := func(ctx context.Context, catalog Catalog) (TransactionResult, error) {
		return catalog.Transact(ctx, transaction)
	}

	if client.Relay != nil && client.Breaker.IsOpen() && !client.RelayBreaker.IsOpen() {
		result, err := callThrough(ctx, client, client.RelayBreaker, client.Relay, client.Settings.CallTimeout+relayDeadlineSlack, call)
		if err == nil || isServiceAnswer(err) || isOutcomeUnknown(result) {
			client.Metrics.Counter("relayed_calls").Inc(1)

			return result, errors.Trace(err)
		}
	}

	return callWithFallback(ctx, client, client.Settings.CallTimeout, call)
}

// Grant implements Catalog.
func (client *CatalogClient) Grant(ctx context.Context, duration time.Duration) (LeaseID, time.Duration, error) {
	granted := duration

	lease, err := callWithFallback(ctx, client, client.Settings.CallTimeout, func(ctx context.Context, catalog Catalog) (LeaseID, error) {
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
	_, err := callWithFallback(ctx, client, client.Settings.CallTimeout, func(ctx context.Context, catalog Catalog) (struct{}, error) {
		return struct{}{}, catalog.Renew(ctx, lease)
	})

	return errors.Trace(err)
}

// Revoke implements Catalog.
func (client *CatalogClient) Revoke(ctx context.Context, lease LeaseID) error {
	_, err := callWithFallback(ctx, client, client.Settings.CallTimeout, func(ctx context.Context, catalog Catalog) (struct{}, error) {
		return struct{}{}, catalog.Revoke(ctx, lease)
	})

	return errors.Trace(err)
}

// callWithFallback makes a call directly. If it fails and certainly had no effect, it
// is made again through the relay.
func callWithFallback[T any](ctx context.Context, client *CatalogClient, timeout time.Duration, call func(context.Context, Catalog) (T, error)) (T, error) {
	result, err := callThrough(ctx, client, client.Breaker, client.Catalog, timeout, call)
	if err == nil || client.Relay == nil || ctx.Err() != nil || isServiceAnswer(err) || isOutcomeUnknown(result) {
		return result, errors.Trace(err)
	}

	relayed, relayErr := callThrough(ctx, client, client.RelayBreaker, client.Relay, timeout+relayDeadlineSlack, call)
	if relayErr != nil && !isServiceAnswer(relayErr) && !isOutcomeUnknown(relayed) {
		return result, errors.Trace(err)
	}

	client.Metrics.Counter("relayed_calls").Inc(1)

	return relayed, errors.Trace(relayErr)
}

// relayDeadlineSlack is added to the deadline of a call through another process.
const relayDeadlineSlack = 200 * time.Millisecond

// callThrough makes one call to a catalog, direct or relay, with a deadline, unless
// its breaker is open.
func callThrough[T any](ctx context.Context, client *CatalogClient, breaker *Breaker, catalog Catalog, timeout time.Duration, call func(context.Context, Catalog) (T, error)) (T, error) {
	if !breaker.Allow() {
		var empty T

		return asRefused(empty), errors.Trace(ErrUnavailable)
	}

	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	began := time.Now()
	result, err := call(callCtx, catalog)
	// An error after the caller has cancelled says nothing about the service.
	if err == nil || ctx.Err() == nil || isServiceAnswer(err) {
		client.recordResult(breaker, began, err)
	}

	return result, errors.Trace(err)
}

// asRefused sets the outcome WriteRefused if the result is that of a transaction.
func asRefused[T any](result T) T {
	if transactionResult, ok := any(&result).(*TransactionResult); ok {
		transactionResult.Applied = WriteRefused
	}

	return result
}

// isOutcomeUnknown returns whether a result is that of a transaction with an unknown
// outcome. Only the writer of such a transaction may send it again.
func isOutcomeUnknown[T any](result T) bool {
	transactionResult, ok := any(result).(TransactionResult)

	return ok && transactionResult.Applied == WriteUnknown
}

// isServiceAnswer returns whether an error is a regular answer of a working service.
func isServiceAnswer(err error) bool {
	return errors.Is(err, ErrCompacted) || errors.Is(err, ErrLeaseEnded) || errors.Is(err, ErrRejected)
}

func (client *CatalogClient) recordResult(breaker *Breaker, began time.Time, err error) {
	succeeded := err == nil || isServiceAnswer(err)
	if !succeeded {
		client.lastFailure.Store(max(1, int64(time.Since(client.started))))
		client.Metrics.Counter("failed_calls").Inc(1)
	}

	changed := breaker.RecordResult(succeeded)
	if breaker == client.Breaker {
		client.recordOutage(succeeded, changed, began)
	}

	if !changed {
		return
	}

	entry := client.Log.WithField("Relay", breaker == client.RelayBreaker)
	if succeeded {
		entry.Warn("Key-value service answers again; its circuit breaker closed.")

		return
	}

	entry.WithFields(logrus.Fields{"Error": err, "Failures": breaker.FailureThreshold}).Warn("Calls to the key-value service keep failing; its circuit breaker opened.")
}

// recordOutage records the result of a direct call, and whether it opened or closed the
// breaker.
func (client *CatalogClient) recordOutage(succeeded, changed bool, began time.Time) {
	client.outageMutex.Lock()
	defer client.outageMutex.Unlock()

	switch {
	case succeeded && changed:
		client.outage.End = time.Now()
	case !succeeded && client.Breaker.IsOpen():
		client.outage = client.outage.withFailure(began)
	}
}
