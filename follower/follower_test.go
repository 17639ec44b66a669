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

// story is a follower of a catalog and what it handed over.
type story struct {
	t       *testing.T
	catalog *emulator.Catalog
	made    *follower.Follower

	// loses takes the answer of the next watch that ends; it is never answered.
	loses atomic.Bool

	mutex sync.Mutex
	seen  []string
}

// losing is a catalog whose connections fall silent.
type losing struct {
	*emulator.Catalog
	loses *atomic.Bool
}

// Watch implements keeper.Catalog.
func (losing losing) Watch(ctx context.Context, prefix string, after keeper.Revision, wait time.Duration) (keeper.Changes, error) {
	changes, err := losing.Catalog.Watch(ctx, prefix, after, wait)
	if losing.loses.CompareAndSwap(true, false) {
		<-ctx.Done()

		return keeper.Changes{}, errors.Trace(ctx.Err())
	}

	return changes, errors.Trace(err)
}

func tell(t *testing.T, play func(story *story), options ...follower.Option) {
	t.Helper()

	synctest.Test(t, func(t *testing.T) {
		story := &story{t: t, catalog: emulator.NewCatalog()}
		client := keeper.NewCatalogClient(kernel.Discard("entry"), losing{Catalog: story.catalog, loses: &story.loses}, loader.DefaultGateway().Calls)
		story.made = follower.NewFollower(kernel.Discard("entry"), client, prefix, func(copied follower.Copy) {
			story.mutex.Lock()
			defer story.mutex.Unlock()

			story.seen = slices.Sorted(maps.Keys(copied))
		}, options...)

		ctx, cancel := context.WithCancel(context.Background())
		running := sync.WaitGroup{}
		running.Go(func() { story.made.Run(ctx) })

		story.catalog.Put(prefix+"a", []byte("1"))
		story.catalog.Put(prefix+"b", []byte("1"))
		time.Sleep(time.Second)
		play(story)
		cancel()
		running.Wait()
		time.Sleep(time.Minute)
	})
}

func (story *story) expect(names ...string) {
	story.t.Helper()
	story.mutex.Lock()
	defer story.mutex.Unlock()

	require.Equal(story.t, names, story.seen)
}

func TestChangesAreFollowed(t *testing.T) {
	tell(t, func(story *story) {
		story.expect("a", "b")
		story.catalog.Put(prefix+"c", nil)
		story.catalog.Put("other/d", nil)
		story.catalog.Remove(prefix + "a")
		synctest.Wait()
		story.expect("b", "c")
	})
}

// What changed in a gap of the history is found by reading anew.
func TestGapInTheHistory(t *testing.T) {
	tell(t, func(story *story) {
		story.catalog.Faults.Set(emulator.Switches{Freeze: true})
		time.Sleep(10 * time.Second)
		story.catalog.Remove(prefix + "a")
		story.catalog.Put(prefix+"c", nil)
		story.catalog.Compact()
		story.expect("a", "b")
		story.catalog.Faults.Set(emulator.Switches{})
		time.Sleep(10 * time.Second)
		story.expect("b", "c")
	})
}

// prompt is the wait of watches whose silence has to be noticed within three
// seconds.
const prompt = 2 * time.Second

// The platform allows two seconds for a change, and three after an outage in
// which a watch fell silent.
func TestSilentWatchIsNoticedInTime(t *testing.T) {
	tell(t, func(story *story) {
		story.catalog.Faults.Set(emulator.Switches{Freeze: true})
		// The waiting watch began before and is never answered.
		story.catalog.Put(prefix+"c", nil)
		time.Sleep(100 * time.Millisecond)
		story.catalog.Faults.Set(emulator.Switches{})
		time.Sleep(3 * time.Second)
		story.expect("a", "b", "c")
	}, follower.WithWait(prompt))
}

// Keys that lapse while the service is away come back soon after it; until
// then they stay in the copy, and no longer.
func TestLapsedKeysAreHeld(t *testing.T) {
	tell(t, func(story *story) {
		story.catalog.Faults.Set(emulator.Switches{Outage: true})
		time.Sleep(5 * time.Second)
		story.catalog.Remove(prefix + "a")
		story.catalog.Remove(prefix + "b")
		story.catalog.Faults.Set(emulator.Switches{})
		time.Sleep(1500 * time.Millisecond)
		story.expect("a", "b")
		story.catalog.Put(prefix+"a", nil)
		time.Sleep(3 * time.Second)
		story.expect("a")
	}, follower.WithHold(), follower.WithWait(prompt))
}

// A removal in calm times holds within the platform's two seconds.
func TestRemovedKeysLeaveInTime(t *testing.T) {
	tell(t, func(story *story) {
		time.Sleep(time.Minute)
		story.catalog.Remove(prefix + "a")
		time.Sleep(time.Second)
		story.expect("a", "b")
		time.Sleep(900 * time.Millisecond)
		story.expect("b")
	}, follower.WithHold(), follower.WithWait(prompt))
}

// Holding removed keys costs a call for each change and one when the hold ends.
func TestHoldCostsFewCalls(t *testing.T) {
	tell(t, func(story *story) {
		time.Sleep(time.Minute)

		before := story.catalog.Calls("Watch")

		story.catalog.Remove(prefix + "a")
		time.Sleep(1900 * time.Millisecond)
		story.expect("b")
		require.LessOrEqual(t, story.catalog.Calls("Watch")-before, 3)
	}, follower.WithHold(), follower.WithWait(prompt))
}

// A process that starts while the service is away uses another's copy, and
// nothing older than it has.
func TestCopyIsBorrowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		catalog := emulator.NewCatalog()
		catalog.Faults.Set(emulator.Switches{Outage: true})

		mutex, seen := sync.Mutex{}, map[string]string{}
		client := keeper.NewCatalogClient(kernel.Discard("entry"), catalog, keeper.DefaultSettings())
		made := follower.NewFollower(kernel.Discard("entry"), client, prefix, func(copied follower.Copy) {
			mutex.Lock()
			defer mutex.Unlock()

			for name, item := range copied {
				seen[name] = string(item.Value)
			}
		}, follower.WithFallback(func(context.Context, string) (keeper.Page, error) {
			return keeper.Page{Items: []keeper.Item{{Key: prefix + "a", Value: []byte("borrowed"), Revision: 100}}, Revision: 100}, nil
		}))

		ctx, cancel := context.WithCancel(context.Background())
		running := sync.WaitGroup{}
		running.Go(func() { made.Run(ctx) })
		expect := func() {
			mutex.Lock()
			defer mutex.Unlock()

			require.Equal(t, "borrowed", seen["a"])
		}

		time.Sleep(time.Second)
		expect()

		items, revision, found := made.Shown()
		require.True(t, found)
		require.Len(t, items, 1)
		require.Zero(t, revision, "a borrowed copy is no place to watch from")

		catalog.Put(prefix+"a", []byte("older"))
		catalog.Faults.Set(emulator.Switches{})
		time.Sleep(10 * time.Second)
		expect()
		cancel()
		running.Wait()
		time.Sleep(time.Minute)
	})
}

// Nobody to borrow from is no reason to give up.
func TestNothingToBorrow(t *testing.T) {
	tell(t, func(story *story) { story.expect("a", "b") }, follower.WithFallback(func(context.Context, string) (keeper.Page, error) {
		return keeper.Page{}, errors.NotFoundf("copy")
	}))
}
