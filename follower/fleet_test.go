package follower_test

import (
	"context"
	"fmt"
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

// deafCatalog is a catalog whose watches bring nothing while it is deaf, although their
// answers carry the current revision.
type deafCatalog struct {
	*emulator.Catalog
	deaf *atomic.Bool
}

// Watch implements keeper.Catalog.
func (catalog deafCatalog) Watch(ctx context.Context, prefix string, after keeper.Revision, wait time.Duration) (keeper.Changes, error) {
	began := time.Now()

	changes, err := catalog.Catalog.Watch(ctx, prefix, after, wait)
	if err != nil || !catalog.deaf.Load() {
		return changes, errors.Trace(err)
	}

	if !kernel.Pause(ctx, time.Until(began.Add(wait))) {
		return keeper.Changes{}, errors.Trace(ctx.Err())
	}

	return keeper.Changes{Revision: changes.Revision}, nil
}

// fleet is a number of followers of one prefix that report to each other as gateways do.
type fleet struct {
	t       *testing.T
	catalog *emulator.Catalog
	deaf    atomic.Bool
	members []*fleetMember
}

// fleetMember is one follower and when its copy gained key "new" and lost key "old".
type fleetMember struct {
	*follower.Follower
	due chan struct{}

	mutex        sync.Mutex
	gained, lost time.Time
}

func (member *fleetMember) apply(current follower.Copy) {
	member.mutex.Lock()
	defer member.mutex.Unlock()

	if _, found := current["new"]; found && member.gained.IsZero() {
		member.gained = time.Now()
	}

	if _, found := current["old"]; !found && member.lost.IsZero() {
		member.lost = time.Now()
	}
}

// gainedAndLost returns when the copy gained and lost its keys; far in the future if it has not.
func (member *fleetMember) gainedAndLost() (gained, lost time.Time) {
	member.mutex.Lock()
	defer member.mutex.Unlock()

	gained, lost = member.gained, member.lost
	if gained.IsZero() {
		gained = time.Now().Add(time.Hour)
	}

	if lost.IsZero() {
		lost = time.Now().Add(time.Hour)
	}

	return gained, lost
}

// change adds one key and then removes another, each time waiting for the bound, and returns the
// longest time after which a follower had one of the changes.
func (fleet *fleet) change(bound time.Duration) time.Duration {
	put := time.Now()

	fleet.catalog.Put(prefix+"new", nil)
	time.Sleep(bound + time.Second/3)

	removed := time.Now()

	fleet.catalog.Remove(prefix + "old")
	time.Sleep(2 * bound)

	worst := time.Duration(0)

	for _, member := range fleet.members {
		gained, lost := member.gainedAndLost()
		worst = max(worst, gained.Sub(put), lost.Sub(removed))
	}

	return worst
}

// runFleet calls run once the followers have copies.
func runFleet(t *testing.T, size int, reports bool, bound time.Duration, run func(fleet *fleet), options ...follower.Option) {
	t.Helper()

	synctest.Test(t, func(t *testing.T) {
		fleet := &fleet{t: t, catalog: emulator.NewCatalog()}
		fleet.catalog.Put(prefix+"old", nil)

		ctx, cancel := context.WithCancel(t.Context())
		running := sync.WaitGroup{}

		for number := range size {
			member := &fleetMember{due: make(chan struct{}, 1)}
			verified := func() {
				select {
				case member.due <- struct{}{}:
				default:
				}
			}
			turn := func(peer string) int {
				other := number
				if peer != "" {
					_, err := fmt.Sscan(peer, &other)
					require.NoError(t, err)
				}

				return (number-other+size-1)%size + 1
			}

			if !reports || size == 1 {
				turn = nil
			}

			common := kernel.NewDiscardCommon(fmt.Sprint(number))
			client := keeper.NewCatalogClient(common, deafCatalog{Catalog: fleet.catalog, deaf: &fleet.deaf}, loader.DefaultGateway().Calls)
			member.Follower = follower.NewFollower(common, client, prefix, member.apply, slices.Concat(options, []follower.Option{
				follower.WithWatchWait(shortWatchWait), follower.WithVerification(bound, turn), follower.WithVerified(verified),
			})...)
			fleet.members = append(fleet.members, member)
		}

		for number, member := range fleet.members {
			running.Go(func() { member.Run(ctx) })

			if reports {
				running.Go(func() { fleet.report(ctx, number) })
			}
		}

		time.Sleep(10 * time.Second)
		run(fleet)
		cancel()
		running.Wait()
		time.Sleep(time.Minute)
	})
}

// report sends a member's reports at the intervals of package gossiper.
func (fleet *fleet) report(ctx context.Context, number int) {
	sender := fleet.members[number]

	for kernel.Pause(ctx, kernel.FleetPause(20*time.Millisecond, 400*time.Millisecond, len(fleet.members), 400)) {
		revision := sender.NewestRevision()
		verification, recent := sender.Verification()

		for _, receiver := range fleet.members {
			if receiver == sender {
				continue
			}

			receiver.ApplyPeerRevision(revision)

			if recent {
				receiver.ApplyPeerVerification(fmt.Sprint(number), verification)
			}
		}

		select {
		case <-sender.due:
		case <-time.After(400 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

// listsDuring returns how many lists a second the fleet requests while something goes on.
func (fleet *fleet) listsDuring(duration time.Duration, act func()) float64 {
	before, end := fleet.catalog.CallCount("Range"), time.Now().Add(duration)

	act()
	time.Sleep(time.Until(end))

	return float64(fleet.catalog.CallCount("Range")-before) / duration.Seconds()
}

// All watches of a fleet received nothing for seconds while the service compacted its history,
// and a configuration was applied 6 s late.
func TestDeafFleetMissesChanges(t *testing.T) {
	const bound = 3 * time.Second

	for _, size := range []int{1, 8, 200} {
		for _, reports := range []bool{true, false} {
			t.Run(fmt.Sprint(size, " followers, reports: ", reports), func(t *testing.T) {
				runFleet(t, size, reports, bound, func(fleet *fleet) {
					fleet.deaf.Store(true)

					calm := fleet.listsDuring(20*time.Second, func() {})
					worst := time.Duration(0)
					burst := fleet.listsDuring(4*bound, func() { worst = fleet.change(bound) }) * 4 * bound.Seconds()
					after := fleet.listsDuring(10*time.Second, func() {})
					t.Logf("calm %.2f lists/s, burst %.0f lists, after %.2f lists/s, last follower after %v", calm, burst, after, worst)
					require.LessOrEqual(t, worst, bound)

					// Without reports each follower verifies by itself. Both figures include two
					// lists that begin or end outside of the time that is counted.
					allowed := maxLists
					if !reports {
						allowed = 0.2 + float64(size)/(0.6*bound.Seconds())
					}

					require.LessOrEqual(t, calm, allowed)
					require.LessOrEqual(t, after, allowed)
					require.LessOrEqual(t, burst, allowed*4*bound.Seconds()+5*float64(size))
				})
			})
		}
	}
}

// maxLists is the largest number of lists a second that a fleet whose followers hear each other makes of
// a prefix.
const maxLists = 2.2

// listsBesideChanges returns how many lists a second the fleet requests while the prefix changes
// all the time.
func (fleet *fleet) listsBesideChanges() float64 {
	return fleet.listsDuring(20*time.Second, func() {
		for number := range 200 {
			fleet.catalog.Put(prefix+"busy", fmt.Append(nil, number))
			fleet.catalog.Put("other/d", nil)

			if number%5 == 0 {
				fleet.catalog.Remove(prefix + "busy")
			}

			time.Sleep(100 * time.Millisecond)
		}
	})
}

// The pauses of a large fleet leave a watch too little of the bound, and followers list by themselves.
func TestVerificationsBesideLongPauses(t *testing.T) {
	for name, scenario := range map[string]struct{ bound, pause time.Duration }{
		"servers": {2 * time.Second, time.Second},
		"heads":   {3 * time.Second, 2200 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 20, true, scenario.bound, func(fleet *fleet) {
				busy := fleet.listsBesideChanges()
				t.Logf("busy %.2f lists/s", busy)
				require.LessOrEqual(t, busy, maxLists)
			}, follower.WithPauseBeforeWatch(func() time.Duration { return scenario.pause }))
		})
	}
}

// Each prefix has a bound and pauses of its own; a pause or the delay of a removal must not
// exceed it, nor may a prefix that changes all the time be listed for each change.
func TestDeafWatchOfEachPrefix(t *testing.T) {
	pause := func(duration time.Duration) follower.Option {
		return follower.WithPauseBeforeWatch(func() time.Duration { return duration })
	}

	for name, scenario := range map[string]struct {
		bound time.Duration
		// unlimited pauses make followers list by themselves; see TestVerificationsBesideLongPauses.
		unlimited bool
		options   []follower.Option
	}{
		"members":                    {bound: 6 * time.Second, options: []follower.Option{follower.WithRemovalDelay(follower.RemovalBounds{}), pause(time.Second)}},
		"configuration, short bound": {bound: 2 * time.Second},
		"servers":                    {bound: 2 * time.Second, options: []follower.Option{follower.WithRemovalDelay(removalBounds), pause(300 * time.Millisecond)}},
		"servers in a large fleet":   {bound: 2 * time.Second, unlimited: true, options: []follower.Option{follower.WithRemovalDelay(removalBounds), pause(time.Second)}},
		"heads":                      {bound: 3 * time.Second, options: []follower.Option{pause(1300 * time.Millisecond)}},
		"heads in a large fleet":     {bound: 3 * time.Second, unlimited: true, options: []follower.Option{pause(2200 * time.Millisecond)}},
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 20, true, scenario.bound, func(fleet *fleet) {
				busy := fleet.listsBesideChanges()

				fleet.deaf.Store(true)
				time.Sleep(5 * time.Second)

				worst := fleet.change(scenario.bound)

				t.Logf("busy %.2f lists/s, last follower after %v", busy, worst)
				require.LessOrEqual(t, worst, scenario.bound)

				if !scenario.unlimited {
					require.LessOrEqual(t, busy, maxLists)
				}
			}, scenario.options...)
		})
	}
}

// A watch that was cut was followed by a pause and another watch, which starts from where the
// cut one had failed to return a change.
func TestCutWatchIsNotFollowedByList(t *testing.T) {
	var catalog *cutCatalog

	runWithView(t, func(fixture *fixture) keeper.Catalog {
		catalog = &cutCatalog{Catalog: fixture.catalog, waiting: make(chan struct{})}

		return catalog
	}, func(fixture *fixture) {
		for name, lose := range map[string]func(){"cut": catalog.cut, "answered with 410": fixture.catalog.Compact} {
			// The change of another prefix makes the compacted history newer than the watch.
			fixture.catalog.Put("other/d", nil)
			time.Sleep(10 * time.Second)

			before := fixture.catalog.CallCount("Range")

			lose()
			synctest.Wait()
			require.Equal(t, before+1, fixture.catalog.CallCount("Range"), name)
		}
	}, follower.WithWatchWait(time.Hour))
}

// A watch that stays lost must not be begun in a tight loop.
func TestLostWatchesAreRepeatedInATightLoop(t *testing.T) {
	runWithView(t, func(fixture *fixture) keeper.Catalog {
		return lostCatalog{fixture.catalog}
	}, func(fixture *fixture) {
		before := fixture.catalog.CallCount("Range")

		time.Sleep(10 * time.Second)
		require.Less(t, fixture.catalog.CallCount("Range")-before, 80)
	})
}

// lostCatalog is a catalog that cuts all watches.
type lostCatalog struct{ *emulator.Catalog }

// Watch implements keeper.Catalog.
func (lostCatalog) Watch(context.Context, string, keeper.Revision, time.Duration) (keeper.Changes, error) {
	return keeper.Changes{}, errors.New("cut")
}
