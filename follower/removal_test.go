package follower_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"limpetrail/emulator"
	"limpetrail/follower"
	"limpetrail/keeper"
)

// removalBounds are the platform's: a removed server gets no request two seconds after
// its removal, by processes that reached the service for three.
var removalBounds = follower.RemovalBounds{DropWithin: 2 * time.Second, RejoinWithin: 3 * time.Second}

// cutCatalog is a catalog whose waiting watches can be cut.
type cutCatalog struct {
	*emulator.Catalog

	mutex sync.Mutex
	// waiting is closed and replaced at each cut.
	waiting chan struct{}
}

// Watch implements keeper.Catalog.
func (catalog *cutCatalog) Watch(ctx context.Context, prefix string, after keeper.Revision, wait time.Duration) (keeper.Changes, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	catalog.mutex.Lock()
	waiting := catalog.waiting
	catalog.mutex.Unlock()

	stop := make(chan struct{})
	defer close(stop)

	go func() {
		select {
		case <-waiting:
			cancel()
		case <-stop:
		}
	}()

	return catalog.Catalog.Watch(ctx, prefix, after, wait)
}

func (catalog *cutCatalog) cut() {
	catalog.mutex.Lock()
	defer catalog.mutex.Unlock()

	close(catalog.waiting)
	catalog.waiting = make(chan struct{})
}

// A removed server was used beyond the platform's bound after a single failed call, and
// while watches failed at the end of its delay.
func TestRemovedServerIsUsedPastTheBound(t *testing.T) {
	const shortPause, longPause = 350 * time.Millisecond, time.Second

	longBounds := follower.RemovalBounds{DropWithin: 3 * time.Second, RejoinWithin: 4 * time.Second}

	for name, scenario := range map[string]struct {
		// cuts are when waiting watches are cut, from one second before the removal on.
		cuts []time.Duration
		// failing is whether all calls fail from a quarter of the bound after the removal on.
		failing bool
		bounds  follower.RemovalBounds
		pause   time.Duration
	}{
		"service is sound":                        {bounds: removalBounds, pause: shortPause},
		"pause between watches is long":           {bounds: removalBounds, pause: longPause},
		"watch was cut a second before":           {cuts: []time.Duration{0}, bounds: removalBounds, pause: shortPause},
		"watch was cut right before":              {cuts: []time.Duration{900 * time.Millisecond}, bounds: removalBounds, pause: shortPause},
		"calls fail while the key is kept":        {cuts: []time.Duration{1500 * time.Millisecond}, failing: true, bounds: removalBounds, pause: shortPause},
		"bound and pause are long, after one cut": {cuts: []time.Duration{900 * time.Millisecond}, bounds: longBounds, pause: longPause},
	} {
		t.Run(name, func(t *testing.T) {
			var catalog *cutCatalog

			runWithView(t, func(fixture *fixture) keeper.Catalog {
				catalog = &cutCatalog{Catalog: fixture.catalog, waiting: make(chan struct{})}

				return catalog
			}, func(fixture *fixture) {
				time.Sleep(time.Minute)

				for _, at := range scenario.cuts {
					time.AfterFunc(at, catalog.cut)
				}

				time.Sleep(time.Second)
				fixture.catalog.Remove(prefix + "a")
				time.Sleep(scenario.bounds.DropWithin / 4)
				fixture.catalog.Faults.Set(emulator.FaultSwitches{Outage: scenario.failing})
				time.Sleep(scenario.bounds.DropWithin * 3 / 4)
				fixture.expect("b")
				fixture.catalog.Faults.Set(emulator.FaultSwitches{})
			}, follower.WithRemovalDelay(scenario.bounds), follower.WithWatchWait(shortWatchWait),
				follower.WithPauseBeforeWatch(func() time.Duration { return scenario.pause }))
		})
	}
}

// A process that was cut off from the service counts again RejoinWithin after its return;
// servers that left meanwhile got requests from it for longer.
func TestServerThatLeftDuringACutIsUsedPastTheBound(t *testing.T) {
	for cut := 5 * time.Second; cut < 7*time.Second; cut += 50 * time.Millisecond {
		runWithFollower(t, func(fixture *fixture) {
			fixture.catalog.Faults.Set(emulator.FaultSwitches{Outage: true})
			time.Sleep(cut)
			fixture.catalog.Remove(prefix + "a")
			fixture.catalog.Faults.Set(emulator.FaultSwitches{})
			time.Sleep(removalBounds.RejoinWithin)
			fixture.expect("b")
		}, follower.WithRemovalDelay(removalBounds), follower.WithWatchWait(shortWatchWait))
	}
}

// A copy from another process must not keep a server in use that has left: the service's
// own list replaces it at once while the service is sound.
func TestServerThatLeftIsUsedFromAnOldCopy(t *testing.T) {
	slow := func(fixture *fixture) keeper.Catalog {
		fixture.catalog.Faults.Set(emulator.FaultSwitches{Delay: 100 * time.Millisecond})

		return fixture.catalog
	}

	runWithView(t, slow, func(fixture *fixture) {
		fixture.expect("a", "b")
	}, follower.WithRemovalDelay(removalBounds), follower.WithWatchWait(shortWatchWait),
		follower.WithFallback(func(context.Context, string) (keeper.Page, error) {
			return keeper.Page{Items: []keeper.Item{{Key: prefix + "left", Revision: 1}}, Revision: 1}, nil
		}))
}

// A change that came as its watch was cut was seen only after the pause that gathers changes:
// too late for a leaving server or an ended job if that watch is cut as well.
func TestChangeIsSeenLateAfterCutWatches(t *testing.T) {
	const pause = 2200 * time.Millisecond

	var catalog *cutCatalog

	runWithView(t, func(fixture *fixture) keeper.Catalog {
		catalog = &cutCatalog{Catalog: fixture.catalog, waiting: make(chan struct{})}

		return catalog
	}, func(fixture *fixture) {
		time.Sleep(10 * time.Second)

		// A watch that has just begun waits for longer than what follows takes.
		for before := fixture.catalog.CallCount("Watch"); fixture.catalog.CallCount("Watch") == before; {
			time.Sleep(10 * time.Millisecond)
		}

		catalog.cut()
		synctest.Wait()
		fixture.catalog.Put(prefix+"c", nil)
		time.Sleep(500 * time.Millisecond)
		fixture.expect("a", "b", "c")
	}, follower.WithWatchWait(shortWatchWait), follower.WithPauseBeforeWatch(func() time.Duration { return pause }))
}
