package follower

import (
	"context"
	"time"

	"limpetrail/keeper"
)

// Option changes a Follower at construction.
type Option func(*Follower)

// WithRemovalDelay keeps removed keys for a short time, since keys whose lease expired
// during an outage are written again soon after it. The bounds limit that time.
func WithRemovalDelay(bounds RemovalBounds) Option {
	return func(follower *Follower) { follower.DelayRemovals, follower.RemovalBounds = true, bounds }
}

// WithPauseBeforeWatch pauses before each watch, so that one answer carries more
// changes. The function is called each time, as the pause depends on how many processes
// watch.
func WithPauseBeforeWatch(pause func() time.Duration) Option {
	return func(follower *Follower) { follower.Pause = pause }
}

// WithWatchWait sets how long a watch waits for changes. With a shorter wait, a watch
// whose answer was lost is noticed sooner, at the price of more calls.
func WithWatchWait(wait time.Duration) Option {
	return func(follower *Follower) { follower.WatchWait = wait }
}

// WithFallback sets how to get another process's copy while the service is unavailable.
func WithFallback(fallback func(ctx context.Context, prefix string) (keeper.Page, error)) Option {
	return func(follower *Follower) { follower.Fallback = fallback }
}

// WithShare sets the function that receives each published copy.
func WithShare(share func(prefix string, items []keeper.Item, revision keeper.Revision)) Option {
	return func(follower *Follower) { follower.Share = share }
}
