package sequencer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/sequencer"
)

const (
	// events is the number of events of an item, and interval the time between two.
	events   = 200
	interval = 24 * time.Millisecond
	step     = 100 * time.Millisecond
	// dueAfter is how long after its arrival an item is due.
	dueAfter = 18 * time.Second
	// itemsPerSecond is the mean rate at which items arrive, in jobs of jobItems.
	itemsPerSecond = 6.9
	jobItems       = 10
)

// ordering tells whether an item starts before another one.
type ordering func(item, other sequencer.Item, now time.Time) bool

// queuedItem is an item of the simulation.
type queuedItem struct {
	sequencer.Item
	running bool
}

// simulate runs a backlog of items that arrived in the last ten seconds, and the items
// that arrive later, in the places that online requests leave free. It returns the share
// that completed in time of the items that are due in the first half minute.
func simulate(t *testing.T, seed uint64, backlog int, before ordering) float64 {
	t.Helper()

	random := rand.New(rand.NewPCG(seed, seed))
	start := time.Unix(0, 0)
	items := []*queuedItem{}
	add := func(number int, arrival time.Time) {
		items = append(items, &queuedItem{Item: sequencer.Item{Due: arrival.Add(dueAfter), Key: fmt.Sprint(number)}})
	}

	for number := range backlog {
		add(number, start.Add(-time.Duration(random.Int64N(int64(10*time.Second)))))
	}

	estimator := sequencer.NewRunTimeEstimator()
	estimator.RecordCompletedItem(events)
	estimator.RecordAttempt(events, events*interval)

	onTime, due := 0, 0

	for now := start; now.Before(start.Add(60 * time.Second)); now = now.Add(step) {
		if random.Float64() < itemsPerSecond/jobItems*step.Seconds() {
			for range jobItems {
				add(len(items)+backlog, now)
			}
		}

		items = advance(items, now, estimator, before, availablePlaces(now.Sub(start)), func(done *queuedItem) {
			if done.Due.After(start.Add(30 * time.Second)) {
				return
			}

			due++

			if !now.After(done.Due) {
				onTime++
			}
		})
	}

	for _, item := range items {
		if !item.Due.After(start.Add(30 * time.Second)) {
			due++
		}
	}

	return float64(onTime) / float64(due)
}

// availablePlaces is how many of 96 places the online requests leave free, at a peak and
// between peaks.
func availablePlaces(elapsed time.Duration) int {
	if elapsed%(6*time.Second) < 3600*time.Millisecond {
		return 80
	}

	return 22
}

// advance gives the places to the items that come first and runs these for one step. It
// returns the items that are not yet complete and calls done with the others.
func advance(items []*queuedItem, now time.Time, estimator *sequencer.RunTimeEstimator, before ordering, places int, done func(*queuedItem)) []*queuedItem {
	unfinished := []*queuedItem{}
	running := 0

	for _, item := range items {
		item.Remaining = estimator.Remaining(item.Events)

		if item.running && running < places {
			running++
		} else {
			item.running = false
		}
	}

	for ; running < places; running++ {
		next := firstWaiting(items, now, before)
		if next == nil {
			break
		}

		next.running = true
	}

	for _, item := range items {
		if item.running {
			item.Events += int(step / interval)
		}

		if item.Events < events {
			unfinished = append(unfinished, item)
		} else {
			done(item)
		}
	}

	return unfinished
}

// firstWaiting returns the waiting item that comes first in the ordering, or nil.
func firstWaiting(items []*queuedItem, now time.Time, before ordering) *queuedItem {
	var earliest *queuedItem

	for _, item := range items {
		if !item.running && (earliest == nil || before(item.Item, earliest.Item, now)) {
			earliest = item
		}
	}

	return earliest
}

// earliestDueFirst is the simplest ordering: by due time.
func earliestDueFirst(item, other sequencer.Item, _ time.Time) bool {
	if !item.Due.Equal(other.Due) {
		return item.Due.Before(other.Due)
	}

	return item.Key < other.Key
}

// overdueLast puts items last whose due time is less than the margin away, whatever
// their remaining run time.
func overdueLast(item, other sequencer.Item, now time.Time) bool {
	const margin = 2500 * time.Millisecond

	overdue := now.Add(margin).After(item.Due)
	if overdue != now.Add(margin).After(other.Due) {
		return !overdue
	}

	return earliestDueFirst(item, other, now)
}

// With a backlog that the places can't complete in time, items that will be late anyway
// come last. This completes more items in time than ordering by due time does.
func TestBacklogAfterOutage(t *testing.T) {
	for _, backlog := range []int{0, 150, 250, 400} {
		t.Run(fmt.Sprint(backlog), func(t *testing.T) {
			sequenced, byDue, overdueSum := 0.0, 0.0, 0.0

			for seed := range uint64(10) {
				sequenced += simulate(t, seed, backlog, sequencer.Precedes) / 10
				byDue += simulate(t, seed, backlog, earliestDueFirst) / 10
				overdueSum += simulate(t, seed, backlog, overdueLast) / 10
			}

			t.Logf("in time: %.3f sequenced, %.3f earliest due first, %.3f overdue last", sequenced, byDue, overdueSum)
			require.GreaterOrEqual(t, sequenced, overdueSum-0.005)
			require.GreaterOrEqual(t, sequenced, byDue-0.005)

			if backlog >= 400 {
				require.Greater(t, sequenced, 2*byDue)
			}
		})
	}
}

func TestOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	newItem := func(due, remaining time.Duration, events int, key string) sequencer.Item {
		return sequencer.Item{Due: now.Add(due), Remaining: remaining, Events: events, Key: key}
	}

	for name, scenario := range map[string]struct {
		first, second sequencer.Item
	}{
		"earlier due time":                                 {newItem(8*time.Second, time.Second, 0, "b"), newItem(9*time.Second, time.Second, 0, "a")},
		"only the first can complete in time":              {newItem(8*time.Second, time.Second, 0, "b"), newItem(3*time.Second, 5*time.Second, 0, "a")},
		"overdue item last":                                {newItem(20*time.Second, 5*time.Second, 0, "b"), newItem(-time.Second, 5*time.Second, 0, "a")},
		"more events produced":                             {newItem(8*time.Second, time.Second, 9, "b"), newItem(8*time.Second, time.Second, 3, "a")},
		"started item can complete in time, new one can't": {newItem(3*time.Second, time.Second, 150, "b"), newItem(2*time.Second, 5*time.Second, 0, "a")},
		"equal items ordered by key":                       {newItem(8*time.Second, time.Second, 0, "a"), newItem(8*time.Second, time.Second, 0, "b")},
	} {
		t.Run(name, func(t *testing.T) {
			require.True(t, sequencer.Precedes(scenario.first, scenario.second, now))
			require.False(t, sequencer.Precedes(scenario.second, scenario.first, now))
		})
	}
}

func TestUrgency(t *testing.T) {
	now := time.Unix(1000, 0)

	for name, scenario := range map[string]struct {
		due, remaining time.Duration
		urgent         bool
	}{
		"far from due":      {18 * time.Second, 5 * time.Second, false},
		"little slack":      {8 * time.Second, 5 * time.Second, true},
		"will be late":      {5 * time.Second, 5 * time.Second, false},
		"late":              {-time.Second, 5 * time.Second, false},
		"almost done, late": {time.Second, time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, scenario.urgent, sequencer.Item{Due: now.Add(scenario.due), Remaining: scenario.remaining}.IsUrgent(now))
		})
	}
}

func TestRunTimeEstimator(t *testing.T) {
	estimator := sequencer.NewRunTimeEstimator()
	require.Equal(t, 5*time.Second, estimator.Remaining(0))

	estimator.RecordCompletedItem(200)
	estimator.RecordAttempt(100, 2*time.Second)
	require.Equal(t, 4*time.Second, estimator.Remaining(0))
	require.Equal(t, time.Second, estimator.Remaining(150))
	require.Equal(t, 400*time.Millisecond, estimator.Remaining(500))

	// The estimate follows an engine that becomes slower.
	for range 100 {
		estimator.RecordAttempt(100, 4*time.Second)
	}

	require.InDelta(t, 8, estimator.Remaining(0).Seconds(), 0.1)
}
