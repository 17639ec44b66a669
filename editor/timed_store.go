package editor

import (
	"context"

	"limpetrail/keeper"
)

// timedStore bounds each read and write, so that a call on a silent
// connection ends early enough for another on a new one.
type timedStore struct {
	keeper.Store
}

var _ keeper.Store = timedStore{}

// Get implements keeper.Store.
func (store timedStore) Get(ctx context.Context, key string) (keeper.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	return store.Store.Get(ctx, key)
}

// CompareAndSwap implements keeper.Store.
func (store timedStore) CompareAndSwap(ctx context.Context, key string, revision keeper.Revision, value []byte) (keeper.Entry, keeper.WriteOutcome, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	return store.Store.CompareAndSwap(ctx, key, revision, value)
}
