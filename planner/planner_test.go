package planner_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/dialer"
	"limpetrail/emulator"
	"limpetrail/kernel"
	"limpetrail/planner"
	"limpetrail/publisher"
)

// startPlanner runs the planner of the named entry until the returned function
// is called.
func startPlanner(ctx context.Context, store *emulator.Store, name string) func() {
	common := kernel.NewDiscardCommon(name)
	documents := publisher.NewPublisher(common, store)
	entryPlanner := planner.NewPlanner(common, planner.DefaultSettings(), store, emulator.NewInstanceList(), documents, dialer.NewDialer())
	ctx, stop := context.WithCancel(ctx)

	go entryPlanner.Run(ctx)

	return stop
}

func TestStandbyEntriesRequestTheLeaseRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const entries = 20

		store := emulator.NewStore()
		for number := range entries {
			startPlanner(t.Context(), store, fmt.Sprintf("entry-%d", number))
		}

		time.Sleep(time.Minute)

		before := store.CallCounts()["Acquire"]

		time.Sleep(time.Hour)

		// In an hour the holder of the 15 s lease renews it 3 times a lease, 720
		// times; each of the 19 others asks at most every 45 s, 80 times.
		require.LessOrEqual(t, store.CallCounts()["Acquire"]-before, 720+19*80)
	})
}

func TestAnotherEntryAcquiresTheLeaseAfterTheFirstStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := emulator.NewStore()
		stop := startPlanner(t.Context(), store, "entry-1")

		synctest.Wait()
		startPlanner(t.Context(), store, "entry-2")
		stop()
		time.Sleep(planner.DefaultSettings().Lease + 2*planner.DefaultSettings().Standby)

		lease, err := store.Acquire(t.Context(), planner.LeaseKey, "observer", time.Second)
		require.NoError(t, err)
		require.Equal(t, "entry-2", lease.Holder)
		require.Equal(t, uint64(2), lease.Fence)
	})
}
