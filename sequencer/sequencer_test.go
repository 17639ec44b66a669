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
	// events an item has, and the time between two of them.
	events   = 200
	interval = 24 * time.Millisecond
	step     = 100 * time.Millisecond
	// dueAfter is how long after its arrival an item is due.
	dueAfter = 18 * time.Second
	// perSecond items arrive, in jobs of ten.
	perSecond = 6.9
	jobItems  = 10
)

// rule orders two items.
type rule func(a, b sequencer.Item, now time.Time) bool

// piled is an item of the replay.
type piled struct {
	sequencer.Item
	running bool
}

// replay lets a pile of items that came in the last ten seconds, and those that
// come, run in the places that peaks of callers leave. It returns the part that
// was in time of those that were due in the first half minute.
func replay(t *testing.T, seed uint64, pile int, before rule) float64 {
	t.Helper()

	random := rand.New(rand.NewPCG(seed, seed))
	start := time.Unix(0, 0)
	items := []*piled{}
	add := func(number int, came time.Time) {
		items = append(items, &piled{Item: sequencer.Item{Due: came.Add(dueAfter), Key: fmt.Sprint(number)}})
	}

	for number := range pile {
		add(number, start.Add(-time.Duration(random.Int64N(int64(10*time.Second)))))
	}

	pace := sequencer.NewPace()
	pace.Whole(events)
	pace.Run(events, events*interval)

	inTime, due := 0, 0

	for now := start; now.Before(start.Add(60 * time.Second)); now = now.Add(step) {
		if random.Float64() < perSecond/jobItems*step.Seconds() {
			for range jobItems {
				add(len(items)+pile, now)
			}
		}

		items = work(items, now, pace, before, places(now.Sub(start)), func(done *piled) {
			if done.Due.After(start.Add(30 * time.Second)) {
				return
			}

			due++

			if !now.After(done.Due) {
				inTime++
			}
		})
	}

	for _, item := range items {
		if !item.Due.After(start.Add(30 * time.Second)) {
			due++
		}
	}

	return float64(inTime) / float64(due)
}

// places are those that the peaks of callers leave of 96.
func places(at time.Duration) int {
	if at%(6*time.Second) < 3600*time.Millisecond {
		return 80
	}

	return 22
}

// work gives the places to the first items and moves these on by a step.
func work(items []*piled, now time.Time, pace *sequencer.Pace, before rule, places int, done func(*piled)) []*piled {
	left := []*piled{}
	running := 0

	for _, item := range items {
		item.Left = pace.Left(item.Events)

		if item.running && running < places {
			running++
		} else {
			item.running = false
		}
	}

	for ; running < places; running++ {
		next := first(items, now, before)
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
			left = append(left, item)
		} else {
			done(item)
		}
	}

	return left
}

// first returns the waiting item that goes first by the rule, or nil.
func first(items []*piled, now time.Time, before rule) *piled {
	var found *piled

	for _, item := range items {
		if !item.running && (found == nil || before(item.Item, found.Item, now)) {
			found = item
		}
	}

	return found
}

// firstDue is the simplest rule.
func firstDue(a, b sequencer.Item, _ time.Time) bool {
	if !a.Due.Equal(b.Due) {
		return a.Due.Before(b.Due)
	}

	return a.Key < b.Key
}

// overdueLast lets those go last whose due time is as good as over, whatever
// they have left to do.
func overdueLast(a, b sequencer.Item, now time.Time) bool {
	const margin = 2500 * time.Millisecond

	over := now.Add(margin).After(a.Due)
	if over != now.Add(margin).After(b.Due) {
		return !over
	}

	return firstDue(a, b, now)
}

// A pile that is more than the places can do in time: what will be late anyway
// lets the rest go first, and more are in time than in the order of due times.
func TestPileAfterAnOutage(t *testing.T) {
	for _, pile := range []int{0, 150, 250, 400} {
		t.Run(fmt.Sprint(pile), func(t *testing.T) {
			sequenced, simple, overdue := 0.0, 0.0, 0.0

			for seed := range uint64(10) {
				sequenced += replay(t, seed, pile, sequencer.Before) / 10
				simple += replay(t, seed, pile, firstDue) / 10
				overdue += replay(t, seed, pile, overdueLast) / 10
			}

			t.Logf("in time: %.3f sequenced, %.3f first due, %.3f overdue last", sequenced, simple, overdue)
			require.GreaterOrEqual(t, sequenced, overdue-0.005)
			require.GreaterOrEqual(t, sequenced, simple-0.005)

			if pile >= 400 {
				require.Greater(t, sequenced, 2*simple)
			}
		})
	}
}

func TestOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	in := func(due, left time.Duration, events int, key string) sequencer.Item {
		return sequencer.Item{Due: now.Add(due), Left: left, Events: events, Key: key}
	}

	for name, scenario := range map[string]struct {
		first, second sequencer.Item
	}{
		"the one that is due first":              {in(8*time.Second, time.Second, 0, "b"), in(9*time.Second, time.Second, 0, "a")},
		"the one that can be in time":            {in(8*time.Second, time.Second, 0, "b"), in(3*time.Second, 5*time.Second, 0, "a")},
		"a long one that is overdue goes last":   {in(20*time.Second, 5*time.Second, 0, "b"), in(-time.Second, 5*time.Second, 0, "a")},
		"the one with most behind it":            {in(8*time.Second, time.Second, 9, "b"), in(8*time.Second, time.Second, 3, "a")},
		"a begun one fits where a new one fails": {in(3*time.Second, time.Second, 150, "b"), in(2*time.Second, 5*time.Second, 0, "a")},
		"equals by their keys":                   {in(8*time.Second, time.Second, 0, "a"), in(8*time.Second, time.Second, 0, "b")},
	} {
		t.Run(name, func(t *testing.T) {
			require.True(t, sequencer.Before(scenario.first, scenario.second, now))
			require.False(t, sequencer.Before(scenario.second, scenario.first, now))
		})
	}
}

func TestUrgency(t *testing.T) {
	now := time.Unix(1000, 0)

	for name, scenario := range map[string]struct {
		due, left time.Duration
		urgent    bool
	}{
		"far from due":      {18 * time.Second, 5 * time.Second, false},
		"little to spare":   {8 * time.Second, 5 * time.Second, true},
		"will be late":      {5 * time.Second, 5 * time.Second, false},
		"late":              {-time.Second, 5 * time.Second, false},
		"almost done, late": {time.Second, time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, scenario.urgent, sequencer.Item{Due: now.Add(scenario.due), Left: scenario.left}.Urgent(now))
		})
	}
}

func TestPace(t *testing.T) {
	pace := sequencer.NewPace()
	require.Equal(t, 5*time.Second, pace.Left(0))

	pace.Whole(200)
	pace.Run(100, 2*time.Second)
	require.Equal(t, 4*time.Second, pace.Left(0))
	require.Equal(t, time.Second, pace.Left(150))
	require.Equal(t, 400*time.Millisecond, pace.Left(500))

	// A slower engine is noticed.
	for range 100 {
		pace.Run(100, 4*time.Second)
	}

	require.InDelta(t, 8, pace.Left(0).Seconds(), 0.1)
}
