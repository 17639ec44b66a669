package publisher_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/keeper"
)

// inRemoteRegion returns whether a process is in the region without the key-value
// service: the second half of the data centres.
func (member *member) inRemoteRegion() bool {
	return member.instance.DataCentre >= "dc-4"
}

// regionStore is the key-value service as seen by one process: without answers
// while a partition separates them.
type regionStore struct {
	*countingStore
	fleet  *fleet
	member *member
}

func (store regionStore) Get(ctx context.Context, key string) (keeper.Entry, error) {
	entry, err := store.countingStore.Get(ctx, key)

	return store.deliver(ctx, entry, err)
}

func (store regionStore) Watch(ctx context.Context, key string, above keeper.Revision) (keeper.Entry, error) {
	entry, err := store.countingStore.Watch(ctx, key, above)

	return store.deliver(ctx, entry, err)
}

// deliver returns the answer, or waits for the context's end if a partition
// separates the process from the service.
func (store regionStore) deliver(ctx context.Context, entry keeper.Entry, err error) (keeper.Entry, error) {
	if !store.fleet.partitioned.Load() || !store.member.inRemoteRegion() {
		return entry, err
	}

	<-ctx.Done()

	return keeper.Entry{}, ctx.Err()
}

// Two regions are partitioned for an hour while the document changes in the one
// with the key-value service. The other region keeps the old revision and gets the
// new one when the partition ends.
func TestDocumentAcrossRegionPartition(t *testing.T) {
	simulate(t, 20, func(fleet *fleet) {
		oldRevision := fleet.write(2)
		require.Less(t, fleet.await(oldRevision), maxSpreadTime)
		time.Sleep(time.Minute)
		fleet.partitioned.Store(true)

		time.Sleep(time.Minute)

		newRevision := fleet.write(3)

		for range 59 {
			time.Sleep(time.Minute)

			for _, member := range fleet.members {
				expected := newRevision
				if member.inRemoteRegion() {
					expected = oldRevision
				}

				require.Equal(t, expected, member.publisher.Current().Revision, member.instance.Name)
			}
		}

		fleet.partitioned.Store(false)

		recoveryTime := fleet.await(newRevision)
		t.Logf("applied in both regions %v after the partition", recoveryTime)
		require.Less(t, recoveryTime, maxSpreadTime)
	})
}
