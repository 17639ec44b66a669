package scheduler_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/emulator"
	"limpetrail/messenger"
	"limpetrail/scheduler"
)

func TestCancelledJobStopsEvenIfItsOwnerIsLost(t *testing.T) {
	for _, ownerLost := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			cluster := newCluster(t)
			first := cluster.startEntry("entry-1")
			second := cluster.startEntry("entry-2")
			record := cluster.submit("school", 20, nil)

			items := first.pull("sidecar-1", 8)
			first.answer("sidecar-1", "kept", items[:5]...)
			time.Sleep(cluster.settings.CommitInterval + 2*time.Second)

			_, err := cluster.ledger.RecordCancellation(t.Context(), record.ID)
			require.NoError(t, err)

			if ownerLost {
				first.kill()
			} else {
				time.Sleep(2 * time.Second)

				reply, err := first.complete("sidecar-1", messenger.Fate_FATE_ANSWERED, "kept", items[5])
				require.NoError(t, err)
				require.Equal(t, []string{record.ID}, reply.GetCancelledJobIds())
			}

			for range 10 {
				time.Sleep(10 * time.Second)

				if !ownerLost {
					require.Empty(t, first.pull("sidecar-1", 10))
				}

				require.Empty(t, second.pull("sidecar-1", 10))
			}

			ended := cluster.readRecord(record.ID)
			require.Equal(t, scheduler.Cancelled, ended.State)
			require.GreaterOrEqual(t, len(cluster.results(record.ID)), 5)
			require.Equal(t, 20, ended.Counts.Answered+ended.Counts.Cancelled)
		})
	}
}

func TestJobPausesDuringAnUnrecordedCancellation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t)
		owner := cluster.startEntry("entry-1")
		record := cluster.submit("school", 20, nil)
		cluster.store.Faults.Set(emulator.FaultSwitches{Outage: true})

		_, err := cluster.ledger.RecordCancellation(t.Context(), record.ID)
		require.Error(t, err)

		reply, err := owner.CancelJob(t.Context(), &messenger.CancelJobRequest{JobId: record.ID})
		require.NoError(t, err)
		require.True(t, reply.GetOwned())
		require.Empty(t, owner.pull("sidecar-1", 10))

		time.Sleep(time.Minute)
		require.NotEmpty(t, owner.pull("sidecar-1", 10), "the cancellation is not recorded, so the job continues")
	})
}

func TestOutageOfTheKeyValueService(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			cluster := newCluster(t)
			cluster.settings.BufferItems = 60
			owner := cluster.startEntry("entry-1")
			record := cluster.submit("school", 100, func(record *scheduler.Record) { record.Idempotent = idempotent })
			cluster.store.Faults.Set(emulator.FaultSwitches{Outage: true})

			executed := 0

			for range 60 {
				items := owner.pull("sidecar-1", 10)
				executed += len(items)

				if len(items) > 0 {
					owner.answer("sidecar-1", "outage", items...)
				}

				time.Sleep(10 * time.Second)
			}

			if idempotent {
				require.Equal(t, 60, executed, "as many items executed as the buffer has capacity for")
			} else {
				require.Zero(t, executed)
			}

			cluster.store.Faults.Set(emulator.FaultSwitches{})
			time.Sleep(time.Minute)
			require.Len(t, cluster.results(record.ID), executed)

			for {
				items := owner.pull("sidecar-1", 10)
				if len(items) == 0 {
					break
				}

				executed += len(items)
				owner.answer("sidecar-1", "after", items...)
			}

			time.Sleep(time.Minute)
			require.Equal(t, 100, executed, "no item executed twice")
			require.Equal(t, scheduler.Completed, cluster.readRecord(record.ID).State)
		})
	}
}

func TestUncommittedResultsSurviveAnExpiredLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t)
		cluster.settings.CommitInterval = time.Hour
		cluster.settings.CommitMost = time.Hour
		owner := cluster.startEntry("entry-1")
		record := cluster.submit("school", 100, nil)
		owner.answer("sidecar-1", "before", owner.pull("sidecar-1", 10)...)

		cluster.store.Faults.Set(emulator.FaultSwitches{Outage: true})
		time.Sleep(2 * time.Minute)
		cluster.store.Faults.Set(emulator.FaultSwitches{})
		time.Sleep(time.Minute)

		rest := owner.pull("sidecar-1", 200)
		require.Len(t, rest, 90)
		owner.answer("sidecar-1", "after", rest...)
		time.Sleep(time.Minute)
		require.Len(t, cluster.results(record.ID), 100)
	})
}

func TestItemsAreHandedOutByDueTimeInContiguousRanges(t *testing.T) {
	// Each suffix gives the job IDs, which break ties, another order.
	for number := range 6 {
		synctest.Test(t, func(t *testing.T) { checkHandOutOrder(t, fmt.Sprint(number)) })
	}
}

func checkHandOutOrder(t *testing.T, suffix string) {
	t.Helper()

	cluster := newCluster(t)
	owner := cluster.startEntry("entry-1")
	due := func(after time.Duration) func(*scheduler.Record) {
		return func(record *scheduler.Record) { record.Due = time.Now().Add(after) }
	}
	late := cluster.submit("late"+suffix, 100, due(6*time.Hour))
	require.Equal(t, late.ID, owner.pull("sidecar-1", 10)[0].GetJobId())

	near := cluster.submit("near"+suffix, 100, due(6*time.Hour-time.Minute))
	soon := cluster.submit("soon"+suffix, 10, due(time.Hour))

	items := owner.pull("sidecar-1", 10)
	require.Equal(t, soon.ID, items[0].GetJobId(), "due much earlier")
	require.Equal(t, near.ID, owner.pull("sidecar-2", 10)[0].GetJobId())
	require.Equal(t, near.ID, owner.pull("sidecar-1", 10)[0].GetJobId())
	require.Equal(t, late.ID, func() string {
		owner.pull("sidecar-3", 100)

		return owner.pull("sidecar-3", 100)[0].GetJobId()
	}())

	items = owner.pull("sidecar-3", 10)
	for position := 1; position < len(items); position++ {
		require.Equal(t, items[position-1].GetIndex()+1, items[position].GetIndex())
		require.Equal(t, items[0].GetJobId(), items[position].GetJobId())
	}
}

func TestItemsWithLostInputFailAfterRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t)
		owner := cluster.startEntry("entry-1")
		record := cluster.submit("school", 1200, nil)
		cluster.segmentStore.segments = map[string][]byte{}

		for range 1000 {
			owner.pull("sidecar-1", 256)
			time.Sleep(time.Second)
		}

		require.Equal(t, scheduler.Completed, cluster.readRecord(record.ID).State)
		require.Equal(t, 1200, cluster.readRecord(record.ID).Counts.Failed)
	})
}

// TestKeyValueCallsAndBytes logs the calls and bytes that one job costs at the
// key-value service, with results of about 400 bytes, and bounds them.
func TestKeyValueCallsAndBytes(t *testing.T) {
	cases := []struct{ size, rate int }{{1_000, 1000}, {1_000, 5}, {10_000, 1000}, {10_000, 20}, {130_000, 1000}}

	for _, test := range cases {
		size := test.size
		synctest.Test(t, func(t *testing.T) {
			cluster := newCluster(t)
			cluster.settings = scheduler.DefaultSettings()
			owner := cluster.startEntry("entry-1")
			before := cluster.store.CallCounts()
			record := cluster.submit("school", size, nil)
			commits, written, largest := 0, 0, 0
			latest := cluster.readRecord(record.ID)

			window := max(1, test.rate/5)
			for range size/window + 60 {
				items := owner.pull("sidecar-1", window)
				for _, item := range items {
					_, err := owner.complete("sidecar-1", messenger.Fate_FATE_ANSWERED, strings.Repeat(fmt.Sprintf("%d ", item.GetIndex()*7919), 50), item)
					require.NoError(t, err)
				}

				time.Sleep(200 * time.Millisecond)

				if current := cluster.readRecord(record.ID); current.Writer != latest.Writer {
					latest = current
					encoded, err := json.Marshal(current)
					require.NoError(t, err)

					commits++
					written += len(encoded)
					largest = max(largest, len(encoded))
				}
			}

			require.Equal(t, scheduler.Completed, latest.State)

			after := cluster.store.CallCounts()
			// The reads of the test itself don't count.
			reads := size/window + 60 + 1
			calls := after["Get"] - before["Get"] - reads + after["CompareAndSwap"] - before["CompareAndSwap"]
			perItem := float64(calls) / float64(size)
			t.Logf("items=%d items_per_second=%d calls=%d calls_per_item=%.4f commits=%d bytes_per_commit=%d largest_record=%d",
				size, test.rate, calls, perItem, commits, written/max(commits, 1), largest)
			require.Less(t, perItem, 0.02)
			require.Less(t, largest, 1<<19, "less than half of the largest value")
		})
	}
}
