package follower

import (
	"context"
	"time"

	"limpetrail/keeper"
)

// Option changes a Follower at construction.
type Option func(*Follower)

// WithHold keeps removed keys for a while, since keys that lapsed during an
// outage come back soon after it.
func WithHold() Option {
	return func(follower *Follower) { follower.Hold = true }
}

// WithPause gathers changes for that time before each watch. It is asked each time,
// as the right time depends on how many processes watch.
func WithPause(pause func() time.Duration) Option {
	return func(follower *Follower) { follower.Pause = pause }
}

// WithWait sets how long a watch waits for changes. Shorter ones notice sooner
// that a watch is silent, at the price of more calls.
func WithWait(wait time.Duration) Option {
	return func(follower *Follower) { follower.Wait = wait }
}

// WithFallback sets where to get a copy while the service is away.
func WithFallback(fallback func(ctx context.Context, prefix string) (keeper.Page, error)) Option {
	return func(follower *Follower) { follower.Fallback = fallback }
}

// WithShare sets who is told of each copy.
func WithShare(share func(prefix string, items []keeper.Item, revision keeper.Revision)) Option {
	return func(follower *Follower) { follower.Share = share }
}
