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

// start runs the planner of one entry until the returned function is called.
func start(ctx context.Context, store *emulator.Store, name string) func() {
	common := kernel.Discard(name)
	documents := publisher.NewPublisher(common, store)
	plans := planner.NewPlanner(common, planner.DefaultSettings(), store, emulator.NewInstances(), documents, dialer.NewDialer())
	ctx, stop := context.WithCancel(ctx)

	go plans.Run(ctx)

	return stop
}

func TestEntriesThatDoNotPlanAskRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const entries = 20

		store := emulator.NewStore()
		for number := range entries {
			start(t.Context(), store, fmt.Sprintf("entry-%d", number))
		}

		time.Sleep(time.Minute)

		before := store.Calls()["Acquire"]

		time.Sleep(time.Hour)

		// One holder renews three times a lease, the others ask at least 45 s
		// apart: 720 + 19 × 80.
		require.LessOrEqual(t, store.Calls()["Acquire"]-before, 720+19*80)
	})
}

func TestAnotherEntryPlansAfterTheFirstIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := emulator.NewStore()
		stop := start(t.Context(), store, "entry-1")

		synctest.Wait()
		start(t.Context(), store, "entry-2")
		stop()
		time.Sleep(planner.DefaultSettings().Lease + 2*planner.DefaultSettings().Standby)

		lease, err := store.Acquire(t.Context(), planner.LeaseKey, "observer", time.Second)
		require.NoError(t, err)
		require.Equal(t, "entry-2", lease.Holder)
		require.Equal(t, uint64(2), lease.Fence)
	})
}
