package keeper

import (
	"context"
	"time"

	"github.com/juju/errors"

	"limpetrail/kernel"
	"limpetrail/recorder"
)

// Client makes all of a process's calls to its Store. Each call has a deadline and
// counts against the call budget, and a breaker stops calls while the service fails.
type Client struct {
	kernel.Common
	Settings Settings
	Store    Store
	Budget   *Budget
	Breaker  *Breaker
}

var _ Store = (*Client)(nil)

// ErrUnavailable is the cause if a call was not made because the breaker is open. A
// write with this cause did not take effect.
var ErrUnavailable = errors.New("the key-value service is not available")

// NewClient returns a client that calls an adapter.
func NewClient(common kernel.Common, store Store, settings Settings) *Client {
	return &Client{
		Common:   common.ForPart("keeper"),
		Settings: settings,
		Store:    store,
		Budget:   NewBudget(settings.CallsPerSecond, settings.Burst),
		Breaker:  NewBreaker(settings.Failures, settings.FirstProbe, settings.LastProbe),
	}
}

// Available returns whether the breaker is closed.
func (client *Client) Available() bool {
	return !client.Breaker.IsOpen()
}

// Get implements Store.
func (client *Client) Get(ctx context.Context, key string) (Entry, error) {
	var entry Entry

	err := client.guard(ctx, client.Settings.CallTimeout, func(ctx context.Context) error {
		var err error
		entry, err = client.Store.Get(ctx, key)

		return err
	})

	return entry, errors.Trace(err)
}

// CompareAndSwap implements Store.
func (client *Client) CompareAndSwap(ctx context.Context, key string, revision Revision, value []byte) (Entry, WriteOutcome, error) {
	var entry Entry

	// A write that was not sent is WriteRefused, not WriteUnknown.
	outcome := WriteRefused
	err := client.guard(ctx, client.Settings.CallTimeout, func(ctx context.Context) error {
		var err error
		entry, outcome, err = client.Store.CompareAndSwap(ctx, key, revision, value)

		return err
	})

	return entry, outcome, errors.Trace(err)
}

// Acquire implements Store.
func (client *Client) Acquire(ctx context.Context, key, holder string, duration time.Duration) (Lease, error) {
	var lease Lease

	err := client.guard(ctx, client.Settings.CallTimeout, func(ctx context.Context) error {
		var err error
		lease, err = client.Store.Acquire(ctx, key, holder, duration)

		return err
	})

	return lease, errors.Trace(err)
}

// Watch implements Store. It returns no error if nothing changed within
// Settings.WatchTimeout.
func (client *Client) Watch(ctx context.Context, key string, above Revision) (Entry, error) {
	var entry Entry

	err := client.guard(ctx, client.Settings.WatchTimeout, func(ctx context.Context) error {
		var err error

		entry, err = client.Store.Watch(ctx, key, above)
		if err != nil && errors.Is(err, context.DeadlineExceeded) {
			entry = Entry{Key: key}

			return nil
		}

		return err
	})

	return entry, errors.Trace(err)
}

// guard makes one call subject to the breaker, the budget and a deadline.
func (client *Client) guard(ctx context.Context, timeout time.Duration, call func(context.Context) error) error {
	if !client.Breaker.Allow() {
		return errors.Trace(ErrUnavailable)
	}

	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	if err := client.Budget.Wait(ctx); err != nil {
		return errors.Trace(err)
	}

	err := call(ctx)
	client.recordResult(err == nil || errors.Is(err, errors.NotValid) || errors.Is(err, context.Canceled))

	return err
}

func (client *Client) recordResult(succeeded bool) {
	if !client.Breaker.RecordResult(succeeded) {
		return
	}

	state := "down"
	if succeeded {
		state = "back"
	}

	client.Log.WithField("State", state).Warn("Availability of the key-value service changed.")
	client.Recorder.Record(recorder.Event{Part: "keeper", Kind: recorder.KindOutage, Details: []string{"State=" + state}})
}
