package registrar_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/emulator"
	"limpetrail/keeper"
	"limpetrail/kernel"
	"limpetrail/loader"
	"limpetrail/registrar"
)

// silentStore answers no call on a registration before a time, and then goes on.
type silentStore struct {
	*emulator.Catalog

	// until is that time in Unix nanoseconds.
	until atomic.Int64
}

func (store *silentStore) Renew(ctx context.Context, lease keeper.LeaseID) error {
	if !kernel.Pause(ctx, time.Until(time.Unix(0, store.until.Load()))) {
		return ctx.Err()
	}

	return store.Catalog.Renew(ctx, lease)
}

func (store *silentStore) Get(ctx context.Context, key string) (keeper.Item, error) {
	if !kernel.Pause(ctx, time.Until(time.Unix(0, store.until.Load()))) {
		return keeper.Item{}, ctx.Err()
	}

	return store.Catalog.Get(ctx, key)
}

// The store is silent for a while and goes on. The process must not be taken for gone.
func TestSilenceOfTheStoreEndsARegistration(t *testing.T) {
	for _, silence := range []time.Duration{time.Second, 1500 * time.Millisecond} {
		for phase := range 10 {
			t.Run(fmt.Sprint(silence, ", ", phase), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					store := &silentStore{Catalog: emulator.NewCatalog()}
					client := keeper.NewCatalogClient(kernel.NewDiscardCommon("a"), store, loader.DefaultGateway().Calls)
					subject := registrar.NewRegistrar(kernel.NewDiscardCommon("a"), client, registrar.Member{Name: "a", Incarnation: "1", Address: "address"})

					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()

					go subject.Run(ctx)

					time.Sleep(2*time.Second + time.Duration(phase)*100*time.Millisecond)

					store.until.Store(time.Now().Add(silence).UnixNano())

					for range 500 {
						time.Sleep(10 * time.Millisecond)

						item, err := store.Catalog.Get(t.Context(), registrar.MembersPrefix+"a")
						require.NoError(t, err)

						require.NotZero(t, item.Revision)
					}
				})
			})
		}
	}
}
