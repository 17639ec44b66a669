package publisher_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/keeper"
)

// far tells whether a process is in the region without the key-value service:
// the later half of the data centres.
func (member *member) far() bool {
	return member.instance.DataCentre >= "dc-4"
}

// regionStore is the key-value service as one process reaches it.
type regionStore struct {
	*countingStore
	fleet  *fleet
	member *member
}

func (store regionStore) Get(ctx context.Context, key string) (keeper.Entry, error) {
	entry, err := store.countingStore.Get(ctx, key)

	return store.answer(ctx, entry, err)
}

func (store regionStore) Watch(ctx context.Context, key string, above keeper.Revision) (keeper.Entry, error) {
	entry, err := store.countingStore.Watch(ctx, key, above)

	return store.answer(ctx, entry, err)
}

// answer never arrives across the cut.
func (store regionStore) answer(ctx context.Context, entry keeper.Entry, err error) (keeper.Entry, error) {
	if !store.fleet.cut.Load() || !store.member.far() {
		return entry, err
	}

	<-ctx.Done()

	return keeper.Entry{}, ctx.Err()
}

// Two regions are cut from each other for an hour, and the one with the
// key-value service changes the document meanwhile.
func TestRegionsCutFromEachOther(t *testing.T) {
	simulate(t, 20, func(fleet *fleet) {
		before := fleet.write(2)
		require.Less(t, fleet.await(before), spreadBound)
		time.Sleep(time.Minute)
		fleet.cut.Store(true)

		time.Sleep(time.Minute)

		changed := fleet.write(3)

		for range 59 {
			time.Sleep(time.Minute)

			for _, member := range fleet.members {
				expected := changed
				if member.far() {
					expected = before
				}

				require.Equal(t, expected, member.publisher.Current().Revision, member.instance.Name)
			}
		}

		fleet.cut.Store(false)

		healed := fleet.await(changed)
		t.Logf("in force in both regions %v after the cut", healed)
		require.Less(t, healed, spreadBound)
	})
}
