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

func TestCancelledJobStopsAlsoWhenItsOwnerIsLost(t *testing.T) {
	for _, lost := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			world := newWorld(t)
			first := world.start("entry-1")
			second := world.start("entry-2")
			record := world.submit("school", 20, nil)

			items := first.pull("sidecar-1", 8)
			first.answer("sidecar-1", "kept", items[:5]...)
			time.Sleep(world.settings.CommitInterval + 2*time.Second)

			_, err := world.ledger.Cancel(t.Context(), record.ID)
			require.NoError(t, err)

			if lost {
				first.kill()
			} else {
				time.Sleep(2 * time.Second)

				reply, err := first.complete("sidecar-1", messenger.Fate_FATE_ANSWERED, "kept", items[5])
				require.NoError(t, err)
				require.Equal(t, []string{record.ID}, reply.GetCancelledJobIds())
			}

			for range 10 {
				time.Sleep(10 * time.Second)

				if !lost {
					require.Empty(t, first.pull("sidecar-1", 10))
				}

				require.Empty(t, second.pull("sidecar-1", 10))
			}

			ended := world.read(record.ID)
			require.Equal(t, scheduler.Cancelled, ended.State)
			require.GreaterOrEqual(t, len(world.results(record.ID)), 5)
			require.Equal(t, 20, ended.Counts.Answered+ended.Counts.Cancelled)
		})
	}
}

func TestJobPausesForACancellationThatIsNotRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld(t)
		owner := world.start("entry-1")
		record := world.submit("school", 20, nil)
		world.store.Faults.Set(emulator.Switches{Outage: true})

		_, err := world.ledger.Cancel(t.Context(), record.ID)
		require.Error(t, err)

		reply, err := owner.CancelJob(t.Context(), &messenger.CancelJobRequest{JobId: record.ID})
		require.NoError(t, err)
		require.True(t, reply.GetOwned())
		require.Empty(t, owner.pull("sidecar-1", 10))

		time.Sleep(time.Minute)
		require.NotEmpty(t, owner.pull("sidecar-1", 10), "not recorded, so the job goes on")
	})
}

func TestOutageOfTheKeyValueService(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			world := newWorld(t)
			world.settings.BufferItems = 60
			owner := world.start("entry-1")
			record := world.submit("school", 100, func(record *scheduler.Record) { record.Idempotent = idempotent })
			world.store.Faults.Set(emulator.Switches{Outage: true})

			ran := 0

			for range 60 {
				items := owner.pull("sidecar-1", 10)
				ran += len(items)

				if len(items) > 0 {
					owner.answer("sidecar-1", "outage", items...)
				}

				time.Sleep(10 * time.Second)
			}

			if idempotent {
				require.Equal(t, 60, ran, "as many as the buffer holds")
			} else {
				require.Zero(t, ran)
			}

			world.store.Faults.Set(emulator.Switches{})
			time.Sleep(time.Minute)
			require.Len(t, world.results(record.ID), ran)

			for {
				items := owner.pull("sidecar-1", 10)
				if len(items) == 0 {
					break
				}

				ran += len(items)
				owner.answer("sidecar-1", "after", items...)
			}

			time.Sleep(time.Minute)
			require.Equal(t, 100, ran, "no item ran twice")
			require.Equal(t, scheduler.Completed, world.read(record.ID).State)
		})
	}
}

func TestUncommittedResultsOutliveALapsedLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld(t)
		world.settings.CommitInterval = time.Hour
		world.settings.CommitMost = time.Hour
		owner := world.start("entry-1")
		record := world.submit("school", 100, nil)
		owner.answer("sidecar-1", "before", owner.pull("sidecar-1", 10)...)

		world.store.Faults.Set(emulator.Switches{Outage: true})
		time.Sleep(2 * time.Minute)
		world.store.Faults.Set(emulator.Switches{})
		time.Sleep(time.Minute)

		rest := owner.pull("sidecar-1", 200)
		require.Len(t, rest, 90)
		owner.answer("sidecar-1", "after", rest...)
		time.Sleep(time.Minute)
		require.Len(t, world.results(record.ID), 100)
	})
}

func TestItemsLeaveInOrderOfDueTimeAndWindowsStayTogether(t *testing.T) {
	// Jobs of other names have IDs of another order.
	for number := range 6 {
		synctest.Test(t, func(t *testing.T) { leaveInOrder(t, fmt.Sprint(number)) })
	}
}

func leaveInOrder(t *testing.T, suffix string) {
	t.Helper()

	world := newWorld(t)
	owner := world.start("entry-1")
	due := func(after time.Duration) func(*scheduler.Record) {
		return func(record *scheduler.Record) { record.Due = time.Now().Add(after) }
	}
	late := world.submit("late"+suffix, 100, due(6*time.Hour))
	require.Equal(t, late.ID, owner.pull("sidecar-1", 10)[0].GetJobId())

	near := world.submit("near"+suffix, 100, due(6*time.Hour-time.Minute))
	soon := world.submit("soon"+suffix, 10, due(time.Hour))

	items := owner.pull("sidecar-1", 10)
	require.Equal(t, soon.ID, items[0].GetJobId(), "much earlier due")
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

func TestLostInputFailsItsItemsInTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld(t)
		owner := world.start("entry-1")
		record := world.submit("school", 1200, nil)
		world.bulk.segments = map[string][]byte{}

		for range 1000 {
			owner.pull("sidecar-1", 256)
			time.Sleep(time.Second)
		}

		require.Equal(t, scheduler.Completed, world.read(record.ID).State)
		require.Equal(t, 1200, world.read(record.ID).Counts.Failed)
	})
}

// TestKeyValueCallsAndBytes prints what one job costs at the key-value service.
// Each result has about 400 bytes.
func TestKeyValueCallsAndBytes(t *testing.T) {
	cases := []struct{ size, rate int }{{1_000, 1000}, {1_000, 5}, {10_000, 1000}, {10_000, 20}, {130_000, 1000}}

	for _, test := range cases {
		size := test.size
		synctest.Test(t, func(t *testing.T) {
			world := newWorld(t)
			world.settings = scheduler.DefaultSettings()
			owner := world.start("entry-1")
			before := world.store.Calls()
			record := world.submit("school", size, nil)
			commits, written, largest := 0, 0, 0
			last := world.read(record.ID)

			window := max(1, test.rate/5)
			for range size/window + 60 {
				items := owner.pull("sidecar-1", window)
				for _, item := range items {
					_, err := owner.complete("sidecar-1", messenger.Fate_FATE_ANSWERED, strings.Repeat(fmt.Sprintf("%d ", item.GetIndex()*7919), 50), item)
					require.NoError(t, err)
				}

				time.Sleep(200 * time.Millisecond)

				if present := world.read(record.ID); present.Writer != last.Writer {
					last = present
					encoded, err := json.Marshal(present)
					require.NoError(t, err)

					commits++
					written += len(encoded)
					largest = max(largest, len(encoded))
				}
			}

			require.Equal(t, scheduler.Completed, last.State)

			after := world.store.Calls()
			// The reads of this test itself are not the job's.
			reads := size/window + 60 + 1
			calls := after["Get"] - before["Get"] - reads + after["CompareAndSwap"] - before["CompareAndSwap"]
			perItem := float64(calls) / float64(size)
			t.Logf("items=%d items_per_second=%d calls=%d calls_per_item=%.4f commits=%d bytes_per_commit=%d largest_record=%d",
				size, test.rate, calls, perItem, commits, written/max(commits, 1), largest)
			require.Less(t, perItem, 0.02)
			require.Less(t, largest, 1<<19, "under half of what a value may hold")
		})
	}
}
