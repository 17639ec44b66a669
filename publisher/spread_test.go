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

// The tables in docs/CONFIGURATION.md are printed by
//
//	go test ./publisher -v -run 'Spread|Outage' -timeout 30m -args -processes 20,100,400,2000 -outage 1h
var (
	sizes  = flag.String("processes", "20,100,400", "sizes of the simulated fleets")
	outage = flag.Duration("outage", 10*time.Minute, "time for which the key-value service is down")
)

// callsPerSecond is how many reads the key-value service of the target serves; the
// distribution of the document may use a hundredth of them.
const callsPerSecond = 2000

// fleetSizes returns the sizes of fleets to simulate.
func fleetSizes(t *testing.T) []int {
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
	for _, processes := range fleetSizes(t) {
		t.Run(strconv.Itoa(processes), func(t *testing.T) {
			simulate(t, processes, func(fleet *fleet) {
				idle := fleet.measure(func() { time.Sleep(5 * time.Minute) })
				slowest := time.Duration(0)

				change := fleet.measure(func() {
					for share := range 5 {
						slowest = max(slowest, fleet.await(fleet.write(2+share)))
						time.Sleep(5 * time.Second)
					}
				})

				t.Logf("processes %4d: reached all in %6v; idle: %5.1f key-value calls a minute, %.2f messages and %4.1f bytes a second and process; "+
					"for each change %.2f copies of the document a process",
					processes, slowest, float64(idle.calls)/idle.duration.Minutes(), perProcess(idle.messages, idle, processes),
					perProcess(idle.bytes, idle, processes), float64(change.documents)/5/float64(processes))
				require.Less(t, slowest, maxSpreadTime)
				// The watchers' own polls, or a hundredth of the service's reads at the
				// target of 2000 processes.
				allowed := max(60, 60*callsPerSecond/100*float64(processes)/2000)
				require.Less(t, float64(idle.calls)/idle.duration.Minutes(), allowed)
				// One copy for each process is needed; a second one would double the bytes.
				require.Less(t, float64(change.documents)/5/float64(processes), 1.5)
			})
		})
	}
}

func perProcess(count int64, period counts, processes int) float64 {
	return float64(count) / period.duration.Seconds() / float64(processes)
}

// A twentieth of the processes loses all messages to and from peers, while the
// instance list still names them. The others get each change in time.
func TestSpreadWithSilentProcesses(t *testing.T) {
	for _, processes := range fleetSizes(t) {
		t.Run(strconv.Itoa(processes), func(t *testing.T) {
			simulate(t, processes, func(fleet *fleet) {
				number := 0
				for _, member := range fleet.members {
					member.silent.Store(number%20 == 0)
					number++
				}

				for share := range 5 {
					slowest := fleet.await(fleet.write(2 + share))
					t.Logf("processes %d: reached all others in %v", processes, slowest)
					require.Less(t, slowest, maxSpreadTime)
				}
			})
		})
	}
}

// The key-value service is down, and all processes of a data centre restart
// during the outage. They get the document from peers, and a change after the outage
// reaches every process.
func TestOutageAndRestartOfDataCentre(t *testing.T) {
	for _, processes := range fleetSizes(t) {
		t.Run(strconv.Itoa(processes), func(t *testing.T) {
			simulate(t, processes, func(fleet *fleet) {
				require.Less(t, fleet.await(fleet.write(2)), maxSpreadTime)
				fleet.store.Faults.Set(emulator.FaultSwitches{Outage: true})

				outageCounts := fleet.measure(func() { time.Sleep(*outage / 2) })
				outageRestart, outageCost := fleet.restart("dc-3", 2)

				time.Sleep(*outage / 2)
				fleet.store.Faults.Set(emulator.FaultSwitches{})
				changeTime := fleet.await(fleet.write(3))
				laterRestart, laterCost := fleet.restart("dc-4", 3)

				t.Logf("processes %4d: in the outage %5.1f key-value calls a minute; data centre restarted in it: document applied after %v, %d calls, busiest peer %d requests in 10 s; "+
					"change after the outage reached all in %v; data centre restarted later: document applied after %v, %d calls, busiest peer %d requests",
					processes, float64(outageCounts.calls)/outageCounts.duration.Minutes(), outageRestart, outageCost.calls, outageCost.maxReceived, changeTime,
					laterRestart, laterCost.calls, laterCost.maxReceived)
				require.Less(t, outageRestart, maxSpreadTime)
				require.Less(t, changeTime, maxSpreadTime)
				require.Less(t, laterRestart, maxSpreadTime)
				require.Less(t, max(outageCost.calls, laterCost.calls), int64(10*callsPerSecond/100))
				// A peer serves about four pulls in ten seconds; if all restarted processes
				// asked the same peer, it would be a hundred.
				require.Less(t, max(outageCost.maxReceived, laterCost.maxReceived), int64(50))
			})
		})
	}
}

// restartCost is the load in the first ten seconds after the restart of a data
// centre.
type restartCost struct {
	calls       int64
	maxReceived int64
}

func (fleet *fleet) restart(dataCentre string, revision keeper.Revision) (time.Duration, restartCost) {
	fleet.t.Helper()

	elapsed := time.Duration(0)
	fleet.stop(dataCentre)
	fleet.takeMaxReceived()

	cost := fleet.measure(func() {
		fleet.start(dataCentre)
		elapsed = fleet.await(revision)
		time.Sleep(10*time.Second - elapsed)
	})

	return elapsed, restartCost{calls: cost.calls, maxReceived: fleet.takeMaxReceived()}
}

// All watches of the key-value service stop answering. A change that one process
// applied still reaches all others through peers.
func TestChangeSpreadsFromWriterWhileAllWatchesAreSilent(t *testing.T) {
	simulate(t, 100, func(fleet *fleet) {
		revision := fleet.write(2)
		require.Less(t, fleet.await(revision), maxSpreadTime)
		entry, err := fleet.store.Store.Get(fleet.t.Context(), publisher.DocumentKey)
		require.NoError(t, err)

		fleet.store.Faults.Set(emulator.FaultSwitches{Silent: true})

		for _, member := range fleet.members {
			applied, err := member.publisher.ApplyUpdate(revision+1, entry.Value)
			require.NoError(t, err)
			require.True(t, applied)

			break
		}

		require.Less(t, fleet.await(revision+1), maxSpreadTime)
	})
}

func TestSilentWatchIsAbandoned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, 1)
		store := &silentWatch{countingStore: fleet.store, unanswered: 1}
		subject := publisher.NewPublisher(kernel.NewDiscardCommon("entry"), store)
		ctx, cancel := context.WithCancel(t.Context())
		fleet.write(1)

		go subject.Run(ctx)
		time.Sleep(time.Minute)
		require.Equal(t, keeper.Revision(1), subject.Current().Revision)
		cancel()
	})
}

// silentWatch leaves its first watches unanswered, as on connections that stopped
// delivering data.
type silentWatch struct {
	*countingStore
	unanswered int
}

func (store *silentWatch) Watch(ctx context.Context, key string, above keeper.Revision) (keeper.Entry, error) {
	if store.unanswered > 0 {
		store.unanswered--
		<-ctx.Done()

		return keeper.Entry{}, ctx.Err()
	}

	return store.countingStore.Watch(ctx, key, above)
}

func TestProcessAppliesOnlyHigherRevisions(t *testing.T) {
	subject := publisher.NewPublisher(kernel.NewDiscardCommon("entry"), emulator.NewStore())

	for _, step := range []struct {
		revision keeper.Revision
		value    string
		applied  bool
		current  keeper.Revision
	}{
		{5, `{"Firms":[{"Name":"five"}]}`, true, 5},
		{4, `{"Firms":[{"Name":"four"}]}`, false, 5},
		{5, `{"Firms":[{"Name":"other"}]}`, false, 5},
		{6, `{"Firms":`, false, 5},
		{6, `{"Firms":[{"Name":"six"}]}`, true, 6},
	} {
		applied, _ := subject.ApplyUpdate(step.revision, []byte(step.value))
		require.Equal(t, step.applied, applied)
		require.Equal(t, step.current, subject.Current().Revision)
	}

	_, found := subject.Current().Index.Firm("six")
	require.True(t, found)
}

// A starting process asks several peers, because some have an older revision.
func TestStartingProcessAppliesHighestRevisionOfItsPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, 5)
		fleet.store.Faults.Set(emulator.FaultSwitches{Outage: true})

		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()

		list := []locator.Instance{}
		revision := keeper.Revision(0)

		for _, member := range fleet.members {
			revision++
			member.publisher = publisher.NewPublisher(kernel.NewDiscardCommon(member.instance.Name), fleet.store)
			member.server = publisher.NewDocumentServer(member.publisher)
			_, err := member.publisher.ApplyUpdate(revision, []byte(`{}`))
			require.NoError(t, err)

			list = append(list, member.instance)
		}

		// Push and pull are off, so only the requests at start can deliver the
		// document. Twenty starts, because a process that asked one peer only could
		// find the highest revision by chance.
		settings := publisher.DefaultSettings()
		settings.Fanout = 0
		settings.Pull = time.Hour
		starting := &member{instance: locator.Instance{Name: "new", DataCentre: "dc-0"}}

		for range 20 {
			subject := publisher.NewPublisher(kernel.NewDiscardCommon("new"), fleet.store, publisher.WithSettings(settings),
				publisher.WithPeers(emulator.NewInstanceList(list...), link{fleet, starting}))

			go subject.Run(ctx)
			time.Sleep(time.Second)
			require.Equal(t, keeper.Revision(5), subject.Current().Revision)
		}

		cancel()
		synctest.Wait()
	})
}
