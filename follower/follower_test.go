package follower_test

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"limpetrail/emulator"
	"limpetrail/follower"
	"limpetrail/keeper"
	"limpetrail/kernel"
	"limpetrail/loader"
)

const prefix = "list/"

// fixture is a follower of an emulated catalog and the keys that it last published.
type fixture struct {
	t       *testing.T
	catalog *emulator.Catalog
	subject *follower.Follower

	// loseAnswer drops the answer of the next watch that ends: the call never returns.
	loseAnswer atomic.Bool

	mutex sync.Mutex
	keys  []string
}

// silentCatalog is a catalog that can lose the answer of a watch.
type silentCatalog struct {
	*emulator.Catalog
	loseAnswer *atomic.Bool
}

// Watch implements keeper.Catalog.
func (catalog silentCatalog) Watch(ctx context.Context, prefix string, after keeper.Revision, wait time.Duration) (keeper.Changes, error) {
	changes, err := catalog.Catalog.Watch(ctx, prefix, after, wait)
	if catalog.loseAnswer.CompareAndSwap(true, false) {
		<-ctx.Done()

		return keeper.Changes{}, errors.Trace(ctx.Err())
	}

	return changes, errors.Trace(err)
}

// runWithFollower calls run one second after the follower started, with keys a and b.
func runWithFollower(t *testing.T, run func(fixture *fixture), options ...follower.Option) {
	t.Helper()

	runWithView(t, func(fixture *fixture) keeper.Catalog {
		return silentCatalog{Catalog: fixture.catalog, loseAnswer: &fixture.loseAnswer}
	}, run, options...)
}

// runWithView does the same with a follower that sees the fixture's catalog through view.
func runWithView(t *testing.T, view func(fixture *fixture) keeper.Catalog, run func(fixture *fixture), options ...follower.Option) {
	t.Helper()

	synctest.Test(t, func(t *testing.T) {
		fixture := &fixture{t: t, catalog: emulator.NewCatalog()}
		client := keeper.NewCatalogClient(kernel.NewDiscardCommon("entry"), view(fixture), loader.DefaultGateway().Calls)
		fixture.subject = follower.NewFollower(kernel.NewDiscardCommon("entry"), client, prefix, func(published follower.Copy) {
			fixture.mutex.Lock()
			defer fixture.mutex.Unlock()

			fixture.keys = slices.Sorted(maps.Keys(published))
		}, options...)

		ctx, cancel := context.WithCancel(context.Background())
		running := sync.WaitGroup{}
		running.Go(func() { fixture.subject.Run(ctx) })

		fixture.catalog.Put(prefix+"a", []byte("1"))
		fixture.catalog.Put(prefix+"b", []byte("1"))
		time.Sleep(time.Second)
		run(fixture)
		cancel()
		running.Wait()
		time.Sleep(time.Minute)
	})
}

func (fixture *fixture) expect(names ...string) {
	fixture.t.Helper()
	fixture.mutex.Lock()
	defer fixture.mutex.Unlock()

	require.Equal(fixture.t, names, fixture.keys)
}

func TestChangesAreFollowed(t *testing.T) {
	runWithFollower(t, func(fixture *fixture) {
		fixture.expect("a", "b")
		fixture.catalog.Put(prefix+"c", nil)
		fixture.catalog.Put("other/d", nil)
		fixture.catalog.Remove(prefix + "a")
		synctest.Wait()
		fixture.expect("b", "c")
	})
}

// Changes whose history was compacted are found by listing the prefix again.
func TestListingAfterCompactedHistory(t *testing.T) {
	runWithFollower(t, func(fixture *fixture) {
		fixture.catalog.Faults.Set(emulator.FaultSwitches{Freeze: true})
		time.Sleep(10 * time.Second)
		fixture.catalog.Remove(prefix + "a")
		fixture.catalog.Put(prefix+"c", nil)
		fixture.catalog.Compact()
		fixture.expect("a", "b")
		fixture.catalog.Faults.Set(emulator.FaultSwitches{})
		time.Sleep(10 * time.Second)
		fixture.expect("b", "c")
	})
}

// shortWatchWait is the wait of watches whose lost answers have to be noticed within
// three seconds.
const shortWatchWait = 2 * time.Second

// The platform allows two seconds until a change is applied, and three after an outage
// in which the answer of a watch was lost.
func TestSilentWatchIsNoticedInTime(t *testing.T) {
	runWithFollower(t, func(fixture *fixture) {
		fixture.catalog.Faults.Set(emulator.FaultSwitches{Freeze: true})
		// The watch that already waits is never answered.
		fixture.catalog.Put(prefix+"c", nil)
		time.Sleep(100 * time.Millisecond)
		fixture.catalog.Faults.Set(emulator.FaultSwitches{})
		time.Sleep(3 * time.Second)
		fixture.expect("a", "b", "c")
	}, follower.WithWatchWait(shortWatchWait))
}

// Keys whose lease expires during an outage are written again soon after it. Removed
// keys stay in the copy until then, and no longer.
func TestExpiredKeysAreKeptAfterOutage(t *testing.T) {
	runWithFollower(t, func(fixture *fixture) {
		fixture.catalog.Faults.Set(emulator.FaultSwitches{Outage: true})
		time.Sleep(5 * time.Second)
		fixture.catalog.Remove(prefix + "a")
		fixture.catalog.Remove(prefix + "b")
		fixture.catalog.Faults.Set(emulator.FaultSwitches{})
		time.Sleep(1500 * time.Millisecond)
		fixture.expect("a", "b")
		fixture.catalog.Put(prefix+"a", nil)
		time.Sleep(3 * time.Second)
		fixture.expect("a")
	}, follower.WithRemovalDelay(removalBounds), follower.WithWatchWait(shortWatchWait))
}

// Without a recent outage, a removal takes effect within the platform's two seconds.
func TestRemovedKeysExpireInTime(t *testing.T) {
	runWithFollower(t, func(fixture *fixture) {
		time.Sleep(time.Minute)
		fixture.catalog.Remove(prefix + "a")
		time.Sleep(time.Second)
		fixture.expect("a", "b")
		time.Sleep(900 * time.Millisecond)
		fixture.expect("b")
	}, follower.WithRemovalDelay(removalBounds), follower.WithWatchWait(shortWatchWait))
}

// Delaying a removal makes one call for each change and one when the delay ends.
func TestRemovalDelayMakesFewCalls(t *testing.T) {
	runWithFollower(t, func(fixture *fixture) {
		time.Sleep(time.Minute)

		callsBefore := fixture.catalog.CallCount("Watch")

		fixture.catalog.Remove(prefix + "a")
		time.Sleep(1900 * time.Millisecond)
		fixture.expect("b")
		require.LessOrEqual(t, fixture.catalog.CallCount("Watch")-callsBefore, 3)
	}, follower.WithRemovalDelay(removalBounds), follower.WithWatchWait(shortWatchWait))
}

// A process that starts while the service is unavailable uses another process's copy,
// and doesn't go back to older values later.
func TestFallbackCopyIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		catalog := emulator.NewCatalog()
		catalog.Faults.Set(emulator.FaultSwitches{Outage: true})

		mutex, seen := sync.Mutex{}, map[string]string{}
		client := keeper.NewCatalogClient(kernel.NewDiscardCommon("entry"), catalog, keeper.DefaultSettings())
		subject := follower.NewFollower(kernel.NewDiscardCommon("entry"), client, prefix, func(published follower.Copy) {
			mutex.Lock()
			defer mutex.Unlock()

			for name, item := range published {
				seen[name] = string(item.Value)
			}
		}, follower.WithFallback(func(context.Context, string) (keeper.Page, error) {
			return keeper.Page{Items: []keeper.Item{{Key: prefix + "a", Value: []byte("fallback"), Revision: 100}}, Revision: 100}, nil
		}))

		ctx, cancel := context.WithCancel(context.Background())
		running := sync.WaitGroup{}
		running.Go(func() { subject.Run(ctx) })
		expect := func() {
			mutex.Lock()
			defer mutex.Unlock()

			require.Equal(t, "fallback", seen["a"])
		}

		time.Sleep(time.Second)
		expect()

		items, revision, found := subject.Snapshot()
		require.True(t, found)
		require.Len(t, items, 1)
		require.Zero(t, revision, "a watch must not start from the revision of a fallback copy")

		catalog.Put(prefix+"a", []byte("older"))
		catalog.Faults.Set(emulator.FaultSwitches{})
		time.Sleep(10 * time.Second)
		expect()
		cancel()
		running.Wait()
		time.Sleep(time.Minute)
	})
}

// Without a copy from another process, the follower still lists the prefix.
func TestFailedFallbackIsIgnored(t *testing.T) {
	runWithFollower(t, func(fixture *fixture) { fixture.expect("a", "b") }, follower.WithFallback(func(context.Context, string) (keeper.Page, error) {
		return keeper.Page{}, errors.NotFoundf("copy")
	}))
}
