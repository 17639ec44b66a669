package publisher_test

import (
	"context"
	"flag"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/emulator"
	"limpetrail/keeper"
	"limpetrail/kernel"
	"limpetrail/locator"
	"limpetrail/publisher"
)

// The tables of docs/CONFIGURATION.md are printed by
//
//	go test ./publisher -v -run 'Spread|Outage' -timeout 30m -args -processes 20,100,400,2000 -outage 1h
var (
	sizes  = flag.String("processes", "20,100,400", "sizes of the simulated fleets")
	outage = flag.Duration("outage", 10*time.Minute, "time for which the key-value service is down")
)

// callsPerSecond is the reads that the target's key-value service takes; the
// spread may use a hundredth of them.
const callsPerSecond = 2000

// eachSize returns the sizes of fleets to simulate.
func eachSize(t *testing.T) []int {
	t.Helper()

	processes := []int{}

	for _, size := range strings.Split(*sizes, ",") {
		number, err := strconv.Atoi(size)
		require.NoError(t, err)

		processes = append(processes, number)
	}

	return processes
}

func TestSpread(t *testing.T) {
	for _, processes := range eachSize(t) {
		t.Run(strconv.Itoa(processes), func(t *testing.T) {
			simulate(t, processes, func(fleet *fleet) {
				idle := fleet.during(func() { time.Sleep(5 * time.Minute) })
				longest := time.Duration(0)

				change := fleet.during(func() {
					for share := range 5 {
						longest = max(longest, fleet.await(fleet.write(2+share)))
						time.Sleep(5 * time.Second)
					}
				})

				t.Logf("processes %4d: reached all in %6v; idle: %5.1f key-value calls a minute, %.2f messages and %4.1f bytes a second and process; "+
					"for each change %.2f copies of the document a process",
					processes, longest, float64(idle.calls)/idle.duration.Minutes(), perProcess(idle.messages, idle, processes),
					perProcess(idle.bytes, idle, processes), float64(change.documents)/5/float64(processes))
				require.Less(t, longest, spreadBound)
				// The watchers' own polls, or at the target a hundredth of the reads.
				allowed := max(60, 60*callsPerSecond/100*float64(processes)/2000)
				require.Less(t, float64(idle.calls)/idle.duration.Minutes(), allowed)
				// A copy above the one that is needed would double the bytes.
				require.Less(t, float64(change.documents)/5/float64(processes), 1.5)
			})
		})
	}
}

func perProcess(count int64, over figures, processes int) float64 {
	return float64(count) / over.duration.Seconds() / float64(processes)
}

// A twentieth of the listed processes is dead and one watcher in each data
// centre hears nothing more, while the list still names all of them.
func TestSpreadPastSilentProcesses(t *testing.T) {
	for _, processes := range eachSize(t) {
		t.Run(strconv.Itoa(processes), func(t *testing.T) {
			simulate(t, processes, func(fleet *fleet) {
				number := 0
				for _, member := range fleet.members {
					member.silent.Store(number%20 == 0)
					number++
				}

				for share := range 5 {
					longest := fleet.await(fleet.write(2 + share))
					t.Logf("processes %d: reached all others in %v", processes, longest)
					require.Less(t, longest, spreadBound)
				}
			})
		})
	}
}

// The key-value service is down for an hour, in which a data centre restarts
// whole; then a change follows its return.
func TestOutageAndRestartOfDataCentre(t *testing.T) {
	for _, processes := range eachSize(t) {
		t.Run(strconv.Itoa(processes), func(t *testing.T) {
			simulate(t, processes, func(fleet *fleet) {
				require.Less(t, fleet.await(fleet.write(2)), spreadBound)
				fleet.store.Faults.Set(emulator.Switches{Outage: true})

				down := fleet.during(func() { time.Sleep(*outage / 2) })
				restarted, first := fleet.restart("dc-3", 2)

				time.Sleep(*outage / 2)
				fleet.store.Faults.Set(emulator.Switches{})
				changed := fleet.await(fleet.write(3))
				again, second := fleet.restart("dc-4", 3)

				t.Logf("processes %4d: in the outage %5.1f key-value calls a minute; data centre restarted in it: in force after %v, %d calls, busiest peer %d requests in 10 s; "+
					"change after the return reached all in %v; data centre restarted later: in force after %v, %d calls, busiest peer %d requests",
					processes, float64(down.calls)/down.duration.Minutes(), restarted, first.calls, first.busiest, changed, again, second.calls, second.busiest)
				require.Less(t, restarted, spreadBound)
				require.Less(t, changed, spreadBound)
				require.Less(t, again, spreadBound)
				require.Less(t, max(first.calls, second.calls), int64(10*callsPerSecond/100))
				// Ten seconds hold four ordinary pulls; a stampede would be a hundred.
				require.Less(t, max(first.busiest, second.busiest), int64(50))
			})
		})
	}
}

// start is what a restart of a data centre cost in its first ten seconds.
type start struct {
	calls   int64
	busiest int64
}

func (fleet *fleet) restart(dataCentre string, revision keeper.Revision) (time.Duration, start) {
	fleet.t.Helper()

	taken := time.Duration(0)
	fleet.stop(dataCentre)
	fleet.busiest()

	cost := fleet.during(func() {
		fleet.start(dataCentre)
		taken = fleet.await(revision)
		time.Sleep(10*time.Second - taken)
	})

	return taken, start{calls: cost.calls, busiest: fleet.busiest()}
}

// A watch that has gone silent is abandoned, and nobody waits for it: here
// every watcher's watch is silent and one process learns of the change.
func TestChangeSpreadsFromItsWriterWhileEveryWatchIsSilent(t *testing.T) {
	simulate(t, 100, func(fleet *fleet) {
		revision := fleet.write(2)
		require.Less(t, fleet.await(revision), spreadBound)
		entry, err := fleet.store.Store.Get(fleet.t.Context(), publisher.DocumentKey)
		require.NoError(t, err)

		fleet.store.Faults.Set(emulator.Switches{Silent: true})

		for _, member := range fleet.members {
			taken, err := member.publisher.Take(revision+1, entry.Value)
			require.NoError(t, err)
			require.True(t, taken)

			break
		}

		require.Less(t, fleet.await(revision+1), spreadBound)
	})
}

func TestSilentWatchIsAbandoned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, 1)
		store := &silentWatch{countingStore: fleet.store, silent: 1}
		documents := publisher.NewPublisher(kernel.Discard("entry"), store)
		ctx, cancel := context.WithCancel(t.Context())
		fleet.write(1)

		go documents.Run(ctx)
		time.Sleep(time.Minute)
		require.Equal(t, keeper.Revision(1), documents.Current().Revision)
		cancel()
	})
}

// silentWatch never answers its first watches, on connections that have gone
// silent.
type silentWatch struct {
	*countingStore
	silent int
}

func (store *silentWatch) Watch(ctx context.Context, key string, above keeper.Revision) (keeper.Entry, error) {
	if store.silent > 0 {
		store.silent--
		<-ctx.Done()

		return keeper.Entry{}, ctx.Err()
	}

	return store.countingStore.Watch(ctx, key, above)
}

func TestProcessTakesOnlyHigherRevisions(t *testing.T) {
	documents := publisher.NewPublisher(kernel.Discard("entry"), emulator.NewStore())

	for _, step := range []struct {
		revision keeper.Revision
		value    string
		taken    bool
		current  keeper.Revision
	}{
		{5, `{"Firms":[{"Name":"five"}]}`, true, 5},
		{4, `{"Firms":[{"Name":"four"}]}`, false, 5},
		{5, `{"Firms":[{"Name":"other"}]}`, false, 5},
		{6, `{"Firms":`, false, 5},
		{6, `{"Firms":[{"Name":"six"}]}`, true, 6},
	} {
		taken, _ := documents.Take(step.revision, []byte(step.value))
		require.Equal(t, step.taken, taken)
		require.Equal(t, step.current, documents.Current().Revision)
	}

	_, found := documents.Current().Index.Firm("six")
	require.True(t, found)
}

// A starting process asks several peers, because some are behind.
func TestStartingProcessTakesTheHighestAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, 5)
		fleet.store.Faults.Set(emulator.Switches{Outage: true})

		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()

		list := []locator.Instance{}
		revision := keeper.Revision(0)

		for _, member := range fleet.members {
			revision++
			member.publisher = publisher.NewPublisher(kernel.Discard(member.instance.Name), fleet.store)
			member.documents = publisher.NewDocuments(member.publisher)
			_, err := member.publisher.Take(revision, []byte(`{}`))
			require.NoError(t, err)

			list = append(list, member.instance)
		}

		// Nothing but the first questions may bring the answer; each start
		// would find the highest by chance if it asked one peer only.
		settings := publisher.DefaultSettings()
		settings.Fanout = 0
		settings.Pull = time.Hour
		starting := &member{instance: locator.Instance{Name: "new", DataCentre: "dc-0"}}

		for range 20 {
			documents := publisher.NewPublisher(kernel.Discard("new"), fleet.store, publisher.WithSettings(settings),
				publisher.WithPeers(emulator.NewInstances(list...), link{fleet, starting}))

			go documents.Run(ctx)
			time.Sleep(time.Second)
			require.Equal(t, keeper.Revision(5), documents.Current().Revision)
		}

		cancel()
		synctest.Wait()
	})
}
