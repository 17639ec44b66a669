package placer_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/kernel"
	"limpetrail/placer"
)

// fixture is the placer of one entry and its list of servers.
type fixture struct {
	t      *testing.T
	placer *placer.Placer
	list   []placer.Server
}

// runFixture runs a test of a placer without servers under a fake clock.
func runFixture(t *testing.T, run func(fixture *fixture)) {
	t.Helper()

	synctest.Test(t, func(t *testing.T) {
		common := kernel.NewDiscardCommon("entry-1")
		common.DataCentre = "a"
		run(&fixture{t: t, placer: placer.NewPlacer(common)})
		time.Sleep(time.Minute)
	})
}

// setServers replaces the list of servers, each with two places.
func (fixture *fixture) setServers(ids ...string) {
	fixture.list = nil
	for _, id := range ids {
		fixture.list = append(fixture.list, placer.Server{ID: id, Incarnation: 1, Address: id, DataCentre: "a", Service: modelService, Places: 2})
	}

	fixture.placer.UpdateServers(fixture.list)
}

// place asks for a place without waiting and returns the grant and its server's ID, or nil
// and the verdict.
func (fixture *fixture) place(exclude ...string) (*placer.Grant, string) {
	decision := fixture.placer.Place(fixture.t.Context(), placer.Work{Service: modelService, Exclude: exclude})
	if decision.Grant == nil {
		return nil, decision.Verdict.String()
	}

	return decision.Grant, decision.Grant.Server.ID
}

// passHealthChecks lets the health checks of all suspect servers pass.
func (fixture *fixture) passHealthChecks() {
	for _, suspect := range fixture.placer.SuspectServers() {
		fixture.placer.RecordPassedCheck(suspect)
	}
}

func TestServersThatFailGetNoWork(t *testing.T) {
	for name, scenario := range map[string]struct {
		observations []placer.Observation
		suspect      bool
	}{
		"unreachable once":          {[]placer.Observation{placer.Unreachable}, true},
		"silent once":               {[]placer.Observation{placer.Silent}, false},
		"silent twice":              {[]placer.Observation{placer.Silent, placer.Silent}, true},
		"answered in between":       {[]placer.Observation{placer.Silent, placer.Answered, placer.Silent}, false},
		"broken twice":              {[]placer.Observation{placer.Broken, placer.Broken}, false},
		"broken three times":        {[]placer.Observation{placer.Broken, placer.Broken, placer.Broken}, true},
		"broken after the start":    {[]placer.Observation{placer.Answered, placer.Broken, placer.Answered, placer.Broken, placer.Answered, placer.Broken}, true},
		"complete in between":       {[]placer.Observation{placer.Broken, placer.Broken, placer.Complete, placer.Broken}, false},
		"failed three times":        {[]placer.Observation{placer.Failed, placer.Failed, placer.Failed}, false},
		"answered once unreachable": {[]placer.Observation{placer.Unreachable, placer.Answered}, true},
	} {
		t.Run(name, func(t *testing.T) {
			runFixture(t, func(fixture *fixture) {
				fixture.setServers("x", "y", "z")

				grant, _ := fixture.place("y", "z")
				for _, observation := range scenario.observations {
					grant.Observe(observation, time.Millisecond)
				}

				_, server := fixture.place("y", "z")
				require.Equal(t, scenario.suspect, server != "x")

				if scenario.suspect {
					require.Len(t, fixture.placer.SuspectServers(), 1)
					fixture.placer.RecordPassedCheck(grant.Server)

					_, server = fixture.place("y", "z")
					require.Equal(t, "x", server)
				}
			})
		})
	}
}

// shareOf sends requests, three at a time, and returns the share that went to a server. The
// function outcome says how each of that server's requests ends.
func (fixture *fixture) shareOf(server string, requests int, outcome func() placer.Observation) float64 {
	const concurrency = 3

	received := 0

	for range requests / concurrency {
		grants := []*placer.Grant{}

		for range concurrency {
			grant, _ := fixture.place()
			grants = append(grants, grant)
		}

		for _, grant := range grants {
			observed := placer.Complete
			if grant.Server.ID == server {
				received++
				observed = outcome()
			}

			grant.Observe(observed, 0)
			grant.Release()
		}

		fixture.passHealthChecks()
	}

	return float64(received) / float64(requests)
}

// A server that fails part of its requests but passes its health checks gets little work
// while others have free places, and its usual share again once it has recovered.
func TestPartlyFailingServersAreAvoided(t *testing.T) {
	const requests = 300

	healthy := func() placer.Observation { return placer.Complete }

	for name, failure := range map[string]placer.Observation{"errors": placer.Failed, "broken answers": placer.Broken} {
		t.Run(name, func(t *testing.T) {
			runFixture(t, func(fixture *fixture) {
				fixture.setServers("x", "y", "z")

				random := rand.New(rand.NewPCG(1, 1))
				partlyFailing := func() placer.Observation {
					if random.Float64() < 0.4 {
						return failure
					}

					return placer.Complete
				}

				require.Less(t, fixture.shareOf("x", requests, partlyFailing), 0.1)

				// At a peak the server is needed, and its requests show that it is healthy.
				for range 40 {
					grant, _ := fixture.place("y", "z")
					grant.Observe(placer.Complete, 0)
					grant.Release()
				}

				require.Greater(t, fixture.shareOf("x", requests, healthy), 0.3)
			})
		})
	}
}

// A server that restarts under the same ID is a new server: the state of the previous
// incarnation doesn't apply to it, and its grants occupy no place.
func TestNewIncarnationIsANewServer(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		fixture.setServers("x")

		first, _ := fixture.place()
		second, _ := fixture.place()
		first.Observe(placer.Unreachable, 0)

		fixture.list[0].Incarnation = 2
		fixture.placer.UpdateServers(fixture.list)

		_, server := fixture.place()
		require.Equal(t, "x", server)

		first.Release()
		second.Release()
		require.Equal(t, placer.Load{Online: 1}, fixture.placer.OwnLoads()["x"])
	})
}

func TestLeavingServersGetNoWork(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		fixture.setServers("x", "y")

		fixture.list[0].Leaving = true
		fixture.placer.UpdateServers(fixture.list)

		for range 2 {
			_, server := fixture.place()
			require.Equal(t, "y", server)
		}

		_, server := fixture.place("y")
		require.Equal(t, placer.NoServer.String(), server)
	})
}

// Batch work is preempted at once if an online request needs its place.
func TestOnlinePreemptsBatch(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		fixture.setServers("x")

		batch, placed := fixture.placer.PlaceBatch(placer.Work{Service: modelService})
		require.True(t, placed)

		_, placed = fixture.placer.PlaceBatch(placer.Work{Service: modelService})
		require.False(t, placed, "a place is left for the next online request")

		_, server := fixture.place()
		require.Equal(t, "x", server)

		select {
		case <-batch.Preempted:
			require.Fail(t, "there was a free place")
		default:
		}

		_, server = fixture.place()
		require.Equal(t, "x", server)
		<-batch.Preempted

		batch.Release()
		require.Equal(t, placer.Load{Online: 2}, fixture.placer.OwnLoads()["x"])
	})
}

// The load of other entries counts while their reports are fresh, whether or not the
// platform lists them.
func TestReportsOfOtherEntriesCount(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		fixture.setServers("x", "y")
		fixture.placer.ApplyReport("entry-2", "a", map[string]placer.Load{"x": {Online: 2}, "y": {Online: 1}})

		_, server := fixture.place()
		require.Equal(t, "y", server)

		_, verdict := fixture.place()
		require.Equal(t, placer.Refused.String(), verdict)

		time.Sleep(2 * time.Second)
		fixture.placer.ApplyReport("entry-3", "a", nil)

		_, server = fixture.place()
		require.Equal(t, "x", server, "expired reports don't count")
	})
}

// Callers arrive at an entry that has just started while runs of another entry hold all
// places. The expected wait counts on those runs to end.
func TestEntryWithoutRunsEstimatesFromOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const busyPlaces = 16

		entryPlacer := placer.NewPlacer(kernel.NewDiscardCommon("a"))
		entryPlacer.UpdateServers([]placer.Server{{ID: "x", Service: "model", Places: busyPlaces}})
		entryPlacer.ApplyReport("b", "", map[string]placer.Load{"x": {Online: busyPlaces}})

		// Half of the freed places go to this entry: those of eight runs of half a second.
		const interval = 500 * time.Millisecond / (busyPlaces / 2)

		decision := entryPlacer.Place(t.Context(), placer.Work{Service: "model", MaxWait: time.Millisecond})
		require.Equal(t, placer.Refused, decision.Verdict)
		require.LessOrEqual(t, decision.ExpectedWait, interval)
		require.LessOrEqual(t, decision.RetryAfter, interval)
	})
}

// The queue serves urgent work first, and work of equal priority in the order of arrival.
func TestQueueOrder(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		fixture.setServers("x")

		first, _ := fixture.place()
		second, _ := fixture.place()
		served := make(chan int, 3)

		for index, priority := range []int{2, 2, 0} {
			go func() {
				decision := fixture.placer.Place(fixture.t.Context(), placer.Work{Service: modelService, Priority: priority, MaxWait: 10 * time.Second})
				if decision.Verdict != placer.Placed {
					index = -1
				}

				served <- index

				time.Sleep(time.Millisecond)
				decision.Grant.Release()
			}()

			synctest.Wait()
		}

		first.Release()

		for _, expected := range []int{2, 0, 1} {
			require.Equal(t, expected, <-served)
		}

		second.Release()
	})
}

// The run that is due last is preempted first, whatever its progress.
func TestLeastUrgentBatchRunIsPreemptedFirst(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		fixture.setServers("x")
		fixture.list[0].Places = 4
		fixture.placer.UpdateServers(fixture.list)

		grants := []*placer.Grant{}

		for _, due := range []time.Duration{8 * time.Second, 20 * time.Second, 20 * time.Second} {
			grant, placed := fixture.placer.PlaceBatch(placer.Work{Service: modelService, Due: time.Now().Add(due)})
			require.True(t, placed)

			grants = append(grants, grant)
		}

		grants[0].SetProgress(1)
		grants[1].SetProgress(50)
		grants[2].SetProgress(20)

		// One place is free.
		fixture.place()

		for _, expected := range []int{2, 1, 0} {
			fixture.place()
			<-grants[expected].Preempted
		}
	})
}

// The places of an entry that died become free even if no other report arrives.
func TestReportsExpireWithoutFurtherReports(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		fixture.setServers("x")
		fixture.placer.ApplyReport("entry-2", "a", map[string]placer.Load{"x": {Batch: 2}})

		_, placed := fixture.placer.PlaceBatch(placer.Work{Service: modelService})
		require.False(t, placed)

		time.Sleep(2 * time.Second)

		_, placed = fixture.placer.PlaceBatch(placer.Work{Service: modelService})
		require.True(t, placed)
	})
}

// At a peak, places become free for moments only. A server on which batch work was
// preempted gets no new batch work at once.
func TestBatchPausesAfterPreemption(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		fixture.setServers("x")
		fixture.placer.UpdateServers([]placer.Server{{ID: "x", Incarnation: 1, Service: modelService, Places: 2, DataCentre: "a"}})

		batch, placed := fixture.placer.PlaceBatch(placer.Work{Service: modelService})
		require.True(t, placed)

		online := []*placer.Grant{}

		for range 2 {
			grant, _ := fixture.place()
			online = append(online, grant)
		}

		<-batch.Preempted
		batch.Release()

		for _, grant := range online {
			grant.Release()
		}

		_, placed = fixture.placer.PlaceBatch(placer.Work{Service: modelService})
		require.False(t, placed, "a place that has just become free after a preemption is not granted")

		time.Sleep(time.Second)

		_, placed = fixture.placer.PlaceBatch(placer.Work{Service: modelService})
		require.True(t, placed)
	})
}

// Work for which only a full server is left stood first in the queue. It kept other work waiting
// while another server had a free place.
func TestWorkForFewServersKeepsOthersWaiting(t *testing.T) {
	waited := time.Duration(0)

	runFixture(t, func(fixture *fixture) {
		fixture.setServers("x", "y")

		grants := map[string]*placer.Grant{}
		for grant, id := fixture.place(); grant != nil; grant, id = fixture.place() {
			grants[id] = grant
		}

		go fixture.placer.Place(fixture.t.Context(), placer.Work{Service: modelService, Spare: true, MaxWait: 10 * time.Second, Exclude: []string{"x"}})
		synctest.Wait()
		time.AfterFunc(100*time.Millisecond, grants["x"].Release)

		waited = fixture.placer.Place(fixture.t.Context(), placer.Work{Service: modelService, MaxWait: 10 * time.Second}).Waited
	})

	require.Equal(t, 100*time.Millisecond, waited)
}

// Work gave a place back that it got at the moment at which its caller left. Other work in the queue
// was not told of the place.
func TestPlaceOfACallerWhoLeavesIsForgotten(t *testing.T) {
	longest := time.Duration(0)

	for range 50 {
		runFixture(t, func(fixture *fixture) {
			fixture.setServers("x")

			grant, _ := fixture.place()
			_, _ = fixture.place()
			ctx, cancel := context.WithCancel(fixture.t.Context())

			go fixture.placer.Place(ctx, placer.Work{Service: modelService, MaxWait: 10 * time.Second})
			synctest.Wait()
			time.AfterFunc(100*time.Millisecond, func() {
				cancel()
				grant.Release()
			})

			decision := fixture.placer.Place(fixture.t.Context(), placer.Work{Service: modelService, MaxWait: 10 * time.Second})
			longest = max(longest, decision.Waited)
		})
	}

	require.Equal(t, 100*time.Millisecond, longest)
}

// A call that was cancelled in the moment in which it got a place kept the place from the calls behind
// it.
func TestPlacesOfCancelledCallsStayUnused(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		fixture.setServers("x")

		work := placer.Work{Service: modelService, MaxWait: time.Second}

		for range 20 {
			first, _ := fixture.place()
			second, _ := fixture.place()
			cancelled, cancel := context.WithCancel(fixture.t.Context())
			served := make(chan placer.Decision, 1)

			go func() {
				if decision := fixture.placer.Place(cancelled, work); decision.Grant != nil {
					decision.Grant.Release()
				}
			}()
			synctest.Wait()

			go func() { served <- fixture.placer.Place(fixture.t.Context(), work) }()
			synctest.Wait()

			cancel()
			first.Release()

			decision := <-served
			require.Equal(t, placer.Placed.String(), decision.Verdict.String())
			decision.Grant.Release()
			second.Release()
		}
	})
}
