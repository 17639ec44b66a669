package keeper

import (
	"context"
	"time"

	"github.com/juju/errors"

	"limpetrail/kernel"
	"limpetrail/recorder"
)

// Client is the one way of a process to the key-value service: each call has
// a deadline, a place in the budget and is stopped while the service fails.
type Client struct {
	kernel.Common
	Settings Settings
	Store    Store
	Budget   *Budget
	Breaker  *Breaker
}

var _ Store = (*Client)(nil)

// ErrUnavailable is the cause of a call that was not made because the service
// is failing. Such a write did not take effect.
var ErrUnavailable = errors.New("the key-value service is not available")

// NewClient returns a client in front of an adapter.
func NewClient(common kernel.Common, store Store, settings Settings) *Client {
	return &Client{
		Common:   common.ForPart("keeper"),
		Settings: settings,
		Store:    store,
		Budget:   NewBudget(settings.CallsPerSecond, settings.Burst),
		Breaker:  NewBreaker(settings.Failures, settings.FirstProbe, settings.LastProbe),
	}
}

// Available tells whether calls are being made.
func (client *Client) Available() bool {
	return !client.Breaker.Open()
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
func (client *Client) CompareAndSwap(ctx context.Context, key string, revision Revision, value []byte) (Entry, Applied, error) {
	var entry Entry

	// A write that was not sent is refused, not unknown.
	applied := WriteRefused
	err := client.guard(ctx, client.Settings.CallTimeout, func(ctx context.Context) error {
		var err error
		entry, applied, err = client.Store.CompareAndSwap(ctx, key, revision, value)

		return err
	})

	return entry, applied, errors.Trace(err)
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

// Watch implements Store. It ends without an error when nothing changed for
// the watch's time.
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

// guard makes one call within deadline, budget and breaker.
func (client *Client) guard(ctx context.Context, timeout time.Duration, call func(context.Context) error) error {
	if !client.Breaker.Allow() {
		return errors.Trace(ErrUnavailable)
	}

	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	if err := client.Budget.Take(ctx); err != nil {
		return errors.Trace(err)
	}

	err := call(ctx)
	client.observe(err == nil || errors.Is(err, errors.NotValid) || errors.Is(err, context.Canceled))

	return err
}

func (client *Client) observe(succeeded bool) {
	if !client.Breaker.Observe(succeeded) {
		return
	}

	state := "down"
	if succeeded {
		state = "back"
	}

	client.Log.WithField("State", state).Warn("Key-value service changed.")
	client.Recorder.Record(recorder.Event{Part: "keeper", Kind: recorder.KindOutage, Details: []string{"State=" + state}})
}
