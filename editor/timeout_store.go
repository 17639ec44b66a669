package editor

import (
	"context"

	"limpetrail/keeper"
)

// timeoutStore applies callTimeout to each read and write, so that a call on a
// connection that gives no answer ends early enough for a retry on a new one.
type timeoutStore struct {
	keeper.Store
}

var _ keeper.Store = timeoutStore{}

// Get implements keeper.Store.
func (store timeoutStore) Get(ctx context.Context, key string) (keeper.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	return store.Store.Get(ctx, key)
}

// CompareAndSwap implements keeper.Store.
func (store timeoutStore) CompareAndSwap(ctx context.Context, key string, revision keeper.Revision, value []byte) (keeper.Entry, keeper.WriteOutcome, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	return store.Store.CompareAndSwap(ctx, key, revision, value)
}
