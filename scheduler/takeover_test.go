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

func TestSameSubmissionThroughTwoEntriesCreatesOneJob(t *testing.T) {
	for _, droppedAnswers := range []int{0, 1, 3} {
		synctest.Test(t, func(t *testing.T) {
			cluster := newCluster(t)
			record := cluster.newRecord("school", 5, nil)
			cluster.store.Faults.Set(emulator.FaultSwitches{DropAnswers: droppedAnswers})

			created := make([]scheduler.Record, 2)
			submissions := sync.WaitGroup{}

			for number := range created {
				submissions.Go(func() {
					var err error

					created[number], err = cluster.ledger.CreateJob(t.Context(), record)
					require.NoError(t, err)
				})
			}

			submissions.Wait()
			require.Equal(t, created[0].ID, created[1].ID)

			listed, err := cluster.ledger.ListJobs(t.Context(), "kilimanjaro")
			require.NoError(t, err)
			require.Len(t, listed, 1)

			record.Content = "other"
			_, err = cluster.ledger.CreateJob(t.Context(), record)
			require.ErrorIs(t, err, errors.AlreadyExists)
		})
	}
}

func TestIndexEntryWithoutRecordExpiresAndADelayedCreationStillRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t)
		cluster.startEntry("entry-1")

		// The submission blocks after the index entry and before the record.
		gate := &gatedStore{Store: cluster.store, unblocked: make(chan struct{})}
		close(gate.unblocked)

		stuck := scheduler.NewLedger(&blockOnRecordWrite{gatedStore: gate})
		stuck.ShardCount = 1
		record := cluster.newRecord("school", 3, nil)
		done := make(chan error)

		go func() {
			_, err := stuck.CreateJob(t.Context(), record)
			done <- err
		}()

		time.Sleep(5 * time.Second)

		listed, err := cluster.ledger.ListJobs(t.Context(), "kilimanjaro")
		require.NoError(t, err)
		require.Len(t, listed, 1, "the index entry is written first")

		time.Sleep(5 * time.Minute)

		listed, err = cluster.ledger.ListJobs(t.Context(), "kilimanjaro")
		require.NoError(t, err)
		require.Empty(t, listed)

		gate.thaw()
		require.NoError(t, <-done)
		time.Sleep(time.Minute)

		listed, err = cluster.ledger.ListJobs(t.Context(), "kilimanjaro")
		require.NoError(t, err)
		require.Len(t, listed, 1)
		require.NotZero(t, cluster.readRecord(record.ID).Epoch, "an entry took the job over")
	})
}

// blockOnRecordWrite freezes its store at the first write of a job's record.
type blockOnRecordWrite struct {
	*gatedStore
	once sync.Once
}

func (store *blockOnRecordWrite) CompareAndSwap(ctx context.Context, key string, revision keeper.Revision, value []byte) (keeper.Entry, keeper.WriteOutcome, error) {
	if len(key) > len("limpetrail/job/") && key[:len("limpetrail/job/")] == "limpetrail/job/" {
		store.once.Do(store.freeze)
	}

	return store.gatedStore.CompareAndSwap(ctx, key, revision, value)
}

// An owner that freezes during a commit must not commit anything when it resumes
// after another entry has taken the job over: two owners at a handover.
func TestFrozenOwnerCommitsNothingAfterATakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t)
		first := cluster.startEntry("entry-1")
		record := cluster.submit("school", 20, nil)

		early := first.pull("sidecar-1", 10)
		require.Len(t, early, 10)
		first.answer("sidecar-1", "first", early...)
		first.gate.freeze()

		// The commit of the first owner is in progress while the second takes over.
		time.Sleep(2 * cluster.settings.Lease)

		second := cluster.startEntry("entry-2")
		time.Sleep(2 * cluster.settings.Lease)

		items := second.pull("sidecar-2", 100)
		require.Len(t, items, 20, "the first owner committed nothing")
		// The first owner has results of items 0 to 9 buffered. When it resumes, items
		// 0 to 4 have no result in the record yet.
		second.answer("sidecar-2", "second", items[5:]...)
		time.Sleep(cluster.settings.CommitInterval + 5*time.Second)

		// Its writes continue before it learns that it has lost the lease.
		first.gate.leasesUnblocked = make(chan struct{})
		first.gate.thaw()
		time.Sleep(time.Minute)
		close(first.gate.leasesUnblocked)
		require.Empty(t, first.pull("sidecar-1", 10))

		require.Equal(t, 15, cluster.readRecord(record.ID).Counts.Answered, "the first owner's commit was refused")
		second.answer("sidecar-2", "second", second.pull("sidecar-2", 100)...)
		time.Sleep(time.Minute)

		results := cluster.results(record.ID)
		require.Len(t, results, 20)

		for _, result := range results {
			require.Equal(t, "second", string(result.Body))
		}

		require.Equal(t, scheduler.Completed, cluster.readRecord(record.ID).State)
	})
}

func TestFrozenOwnerHandsOutNothingWhenItResumes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t)
		first := cluster.startEntry("entry-1")
		cluster.submit("school", 20, nil)
		first.gate.freeze()
		time.Sleep(2 * cluster.settings.Lease)
		require.Empty(t, first.pull("sidecar-1", 10), "its lease has expired and no call to the key-value service has failed")
		first.gate.thaw()
	})
}

func TestNonIdempotentItems(t *testing.T) {
	cases := map[string]struct {
		// end stops the owner, reports the end of the items, or does neither.
		end  func(t *testing.T, first, second *testEntry, items []*messenger.Item)
		want scheduler.ItemFate
	}{
		"the owner and the sidecar are lost": {
			end:  func(_ *testing.T, first, _ *testEntry, _ []*messenger.Item) { first.kill() },
			want: scheduler.ItemMayHaveRun,
		},
		"the sidecar is lost": {
			end:  func(*testing.T, *testEntry, *testEntry, []*messenger.Item) {},
			want: scheduler.ItemMayHaveRun,
		},
		"the owner is lost and the sidecar reports to the next owner": {
			end: func(t *testing.T, first, second *testEntry, items []*messenger.Item) {
				t.Helper()
				first.kill()
				// By now the lease has expired and the second entry has acquired it.
				time.Sleep(50 * time.Second)
				second.answer("sidecar-1", "late", items...)
			},
			want: scheduler.ItemAnswered,
		},
		"the sidecar reports that the items may have run": {
			end: func(t *testing.T, first, _ *testEntry, items []*messenger.Item) {
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
				cluster := newCluster(t)
				first := cluster.startEntry("entry-1")
				record := cluster.submit("orders", 4, nonIdempotent)
				second := cluster.startEntry("entry-2")

				items := first.pull("sidecar-1", 10)
				require.Len(t, items, 4)
				require.Equal(t, 4, cluster.readRecord(record.ID).Started.Count(), "recorded as started before they are sent")

				test.end(t, first, second, items)

				for range 20 {
					time.Sleep(20 * time.Second)
					require.Empty(t, first.pull("sidecar-2", 10))
					require.Empty(t, second.pull("sidecar-2", 10))
				}

				results := cluster.results(record.ID)
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
		cluster := newCluster(t)
		owner := cluster.startEntry("entry-1")
		record := cluster.submit("orders", 1, nonIdempotent)

		items := owner.pull("sidecar-1", 1)
		_, err := owner.complete("sidecar-1", messenger.Fate_FATE_NOT_RUN, "", items...)
		require.NoError(t, err)
		require.Zero(t, cluster.readRecord(record.ID).Started.Count())

		again := owner.pull("sidecar-2", 1)
		require.Len(t, again, 1)
		require.NotEqual(t, items[0].GetRequest().GetRequestId(), again[0].GetRequest().GetRequestId())
	})
}

func TestItemsOfASilentSidecarAreReassignedAndCountOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t)
		owner := cluster.startEntry("entry-1")
		record := cluster.submit("school", 3, nil)

		early := owner.pull("sidecar-1", 10)
		time.Sleep(cluster.settings.ItemLease + 2*time.Second)

		again := owner.pull("sidecar-2", 10)
		require.Len(t, again, 3)
		owner.answer("sidecar-2", "second", again...)
		owner.answer("sidecar-1", "first", early...)
		time.Sleep(time.Minute)

		results := cluster.results(record.ID)
		require.Len(t, results, 3)
		require.Equal(t, "second", string(results[0].Body))
	})
}

func TestItemsReturnedByALeavingSidecarAreReassignedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t)
		owner := cluster.startEntry("entry-1")
		cluster.submit("school", 4, nil)

		items := owner.pull("sidecar-1", 4)
		require.Len(t, items, 4)

		_, err := owner.complete("sidecar-1", messenger.Fate_FATE_QUEUED, "", items...)
		require.NoError(t, err)

		again := owner.pull("sidecar-2", 4)
		require.Len(t, again, 4)

		for _, item := range again {
			require.False(t, item.GetAlone(), "an item returned by a leaving sidecar is no suspect")
		}
	})
}
