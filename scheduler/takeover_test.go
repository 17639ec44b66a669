package scheduler_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"limpetrail/emulator"
	"limpetrail/keeper"
	"limpetrail/messenger"
	"limpetrail/scheduler"
)

func TestSameSubmissionThroughTwoEntriesIsOneJob(t *testing.T) {
	for _, lost := range []int{0, 1, 3} {
		synctest.Test(t, func(t *testing.T) {
			world := newWorld(t)
			record := world.record("school", 5, nil)
			world.store.Faults.Set(emulator.Switches{DropAnswers: lost})

			created := make([]scheduler.Record, 2)
			submissions := sync.WaitGroup{}

			for number := range created {
				submissions.Go(func() {
					var err error

					created[number], err = world.ledger.Create(t.Context(), record)
					require.NoError(t, err)
				})
			}

			submissions.Wait()
			require.Equal(t, created[0].ID, created[1].ID)

			listed, err := world.ledger.List(t.Context(), "kilimanjaro")
			require.NoError(t, err)
			require.Len(t, listed, 1)

			record.Content = "other"
			_, err = world.ledger.Create(t.Context(), record)
			require.ErrorIs(t, err, errors.AlreadyExists)
		})
	}
}

func TestIndexEntryWithoutRecordExpiresAndADelayedCreationStillRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld(t)
		world.start("entry-1")

		// The submitter stops between index and record.
		gate := &gate{Store: world.store, open: make(chan struct{})}
		close(gate.open)

		stuck := scheduler.NewLedger(&stopBeforeRecord{gate: gate})
		stuck.Shards = 1
		record := world.record("school", 3, nil)
		done := make(chan error)

		go func() {
			_, err := stuck.Create(t.Context(), record)
			done <- err
		}()

		time.Sleep(5 * time.Second)

		listed, err := world.ledger.List(t.Context(), "kilimanjaro")
		require.NoError(t, err)
		require.Len(t, listed, 1, "the index goes first")

		time.Sleep(5 * time.Minute)

		listed, err = world.ledger.List(t.Context(), "kilimanjaro")
		require.NoError(t, err)
		require.Empty(t, listed)

		gate.thaw()
		require.NoError(t, <-done)
		time.Sleep(time.Minute)

		listed, err = world.ledger.List(t.Context(), "kilimanjaro")
		require.NoError(t, err)
		require.Len(t, listed, 1)
		require.NotZero(t, world.read(record.ID).Epoch, "an owner has it")
	})
}

// stopBeforeRecord freezes its gate at the first write of a job's record.
type stopBeforeRecord struct {
	*gate
	once sync.Once
}

func (stop *stopBeforeRecord) CompareAndSwap(ctx context.Context, key string, revision keeper.Revision, value []byte) (keeper.Entry, keeper.Applied, error) {
	if len(key) > len("limpetrail/job/") && key[:len("limpetrail/job/")] == "limpetrail/job/" {
		stop.once.Do(stop.freeze)
	}

	return stop.gate.CompareAndSwap(ctx, key, revision, value)
}

func TestFrozenOwnerCommitsNothingAfterATakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld(t)
		first := world.start("entry-1")
		record := world.submit("school", 20, nil)

		early := first.pull("sidecar-1", 10)
		require.Len(t, early, 10)
		first.answer("sidecar-1", "first", early...)
		first.gate.freeze()

		// The commit of the first owner is under way while the second takes over.
		time.Sleep(2 * world.settings.Lease)

		second := world.start("entry-2")
		time.Sleep(2 * world.settings.Lease)

		items := second.pull("sidecar-2", 100)
		require.Len(t, items, 20, "nothing of the first owner was recorded")
		// The first owner holds results of items 0 to 9, of which 0 to 4 have none
		// in the record when it wakes.
		second.answer("sidecar-2", "second", items[5:]...)
		time.Sleep(world.settings.CommitInterval + 5*time.Second)

		// Its writes go through before it hears of its lease.
		first.gate.leases = make(chan struct{})
		first.gate.thaw()
		time.Sleep(time.Minute)
		close(first.gate.leases)
		require.Empty(t, first.pull("sidecar-1", 10))

		require.Equal(t, 15, world.read(record.ID).Counts.Answered, "the first owner's commit was refused")
		second.answer("sidecar-2", "second", second.pull("sidecar-2", 100)...)
		time.Sleep(time.Minute)

		results := world.results(record.ID)
		require.Len(t, results, 20)

		for _, result := range results {
			require.Equal(t, "second", string(result.Body))
		}

		require.Equal(t, scheduler.Completed, world.read(record.ID).State)
	})
}

func TestFrozenOwnerHandsOutNothingWhenItWakes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld(t)
		first := world.start("entry-1")
		world.submit("school", 20, nil)
		first.gate.freeze()
		time.Sleep(2 * world.settings.Lease)
		require.Empty(t, first.pull("sidecar-1", 10), "its lease is over and nobody said that the service is down")
		first.gate.thaw()
	})
}

func TestNonIdempotentItems(t *testing.T) {
	cases := map[string]struct {
		// ends says what becomes of owner and sidecar.
		ends func(t *testing.T, first, second *node, items []*messenger.Item)
		want scheduler.ItemFate
	}{
		"the owner and the sidecar are lost": {
			ends: func(_ *testing.T, first, _ *node, _ []*messenger.Item) { first.kill() },
			want: scheduler.ItemMayHaveRun,
		},
		"the sidecar is lost": {
			ends: func(*testing.T, *node, *node, []*messenger.Item) {},
			want: scheduler.ItemMayHaveRun,
		},
		"the owner is lost and the sidecar reports to the next": {
			ends: func(t *testing.T, first, second *node, items []*messenger.Item) {
				t.Helper()
				first.kill()
				// The lease has run out and the second entry has asked again.
				time.Sleep(50 * time.Second)
				second.answer("sidecar-1", "late", items...)
			},
			want: scheduler.ItemAnswered,
		},
		"the sidecar says that it broke": {
			ends: func(t *testing.T, first, _ *node, items []*messenger.Item) {
				t.Helper()

				_, err := first.complete("sidecar-1", messenger.Fate_FATE_MAY_HAVE_RUN, "", items...)
				require.NoError(t, err)
			},
			want: scheduler.ItemMayHaveRun,
		},
	}

	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				world := newWorld(t)
				first := world.start("entry-1")
				record := world.submit("orders", 4, nonIdempotent)
				second := world.start("entry-2")

				items := first.pull("sidecar-1", 10)
				require.Len(t, items, 4)
				require.Equal(t, 4, world.read(record.ID).Started.Count(), "recorded before they left")

				test.ends(t, first, second, items)

				for range 20 {
					time.Sleep(20 * time.Second)
					require.Empty(t, first.pull("sidecar-2", 10))
					require.Empty(t, second.pull("sidecar-2", 10))
				}

				results := world.results(record.ID)
				require.Len(t, results, 4)

				for _, result := range results {
					require.Equal(t, test.want, result.Fate)
				}
			})
		})
	}
}

func TestNonIdempotentItemThatDidNotRunIsHandedOutAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld(t)
		owner := world.start("entry-1")
		record := world.submit("orders", 1, nonIdempotent)

		items := owner.pull("sidecar-1", 1)
		_, err := owner.complete("sidecar-1", messenger.Fate_FATE_NOT_RUN, "", items...)
		require.NoError(t, err)
		require.Zero(t, world.read(record.ID).Started.Count())

		again := owner.pull("sidecar-2", 1)
		require.Len(t, again, 1)
		require.NotEqual(t, items[0].GetRequest().GetRequestId(), again[0].GetRequest().GetRequestId())
	})
}

func TestSilentSidecarLosesItsItemsAndItsLateResultCountsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld(t)
		owner := world.start("entry-1")
		record := world.submit("school", 3, nil)

		early := owner.pull("sidecar-1", 10)
		time.Sleep(world.settings.ItemLease + 2*time.Second)

		again := owner.pull("sidecar-2", 10)
		require.Len(t, again, 3)
		owner.answer("sidecar-2", "second", again...)
		owner.answer("sidecar-1", "first", early...)
		time.Sleep(time.Minute)

		results := world.results(record.ID)
		require.Len(t, results, 3)
		require.Equal(t, "second", string(results[0].Body))
	})
}

func TestItemsThatALeavingSidecarGivesBackRunElsewhereAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld(t)
		owner := world.start("entry-1")
		world.submit("school", 4, nil)

		items := owner.pull("sidecar-1", 4)
		require.Len(t, items, 4)

		_, err := owner.complete("sidecar-1", messenger.Fate_FATE_QUEUED, "", items...)
		require.NoError(t, err)

		again := owner.pull("sidecar-2", 4)
		require.Len(t, again, 4)

		for _, item := range again {
			require.False(t, item.GetAlone(), "leaving speaks against no item")
		}
	})
}
