package batcher_test

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/bookkeeper"
	"limpetrail/emulator"
	"limpetrail/quarantiner"
)

// submitPrompts submits a job whose items have these prompt parts, separated by commas,
// before one of their own.
func (fleet *fleet) submitPrompts(prompts []string) {
	job := bookkeeper.Job{ID: jobID, Host: host, Submitted: time.Now(), Due: time.Now().Add(18 * time.Second), GiveUp: time.Now().Add(time.Minute)}

	for number, parts := range prompts {
		header := map[string]string{emulator.DefaultEventHeaders().PromptParts: strings.TrimPrefix(parts+","+itemID(number), ",")}
		job.Items = append(job.Items, bookkeeper.Item{ID: itemID(number), Target: "/batch/x", Header: header, Body: []byte("body")})
	}

	require.Equal(fleet.t, bookkeeper.OK, fleet.gateways[0].batcher.Submit(context.Background(), job))
}

// deadlyRuns returns how often items with a deadly part reached servers.
func (fleet *fleet) deadlyRuns() int {
	count := 0
	for _, server := range fleet.servers {
		count += len(server.DeadlyRuns())
	}

	return count
}

// states returns the states of all results by item.
func (fleet *fleet) states() map[string]bookkeeper.State {
	results, _ := fleet.readAll(0)
	states := map[string]bookkeeper.State{}

	for _, result := range results {
		states[result.ID] = result.State
	}

	return states
}

// An item whose prompt ends the servers that begin to answer it is interrupted each time,
// which no limit counts. It is kept until its job's time ends, the other items complete, and
// few servers end by it.
func TestItemsThatEndServersAreSentAgainWithoutEnd(t *testing.T) {
	for name, scenario := range map[string]struct {
		deadlyPart string
		prompts    []string
		deadly     []int
	}{
		"a shared part": {"x", []string{"a", "a,x", "a", "a,x", "a", "a", "a,x", "a"}, []int{1, 3, 6}},
		"the own part":  {itemID(2), []string{"a", "a", "a", "a"}, []int{2}},
		"no other part": {itemID(2), []string{"", "", "", ""}, []int{2}},
	} {
		t.Run(name, func(t *testing.T) {
			states, early, late := map[string]bookkeeper.State{}, 0, 0

			var result bookkeeper.State

			newFleet(t, 2, 8, func(fleet *fleet) {
				for _, server := range fleet.servers {
					server.SetDeadlyParts(scenario.deadlyPart)
				}

				fleet.submitPrompts(scenario.prompts)
				time.Sleep(8 * time.Second)

				early, states = fleet.deadlyRuns(), fleet.states()

				time.Sleep(time.Minute)

				late, result = fleet.deadlyRuns(), fleet.states()[itemID(scenario.deadly[0])]
			})

			require.LessOrEqual(t, early, 5)
			require.LessOrEqual(t, late-early, 8, "later ones are tried one at a time")
			require.Equal(t, bookkeeper.GivenUp, result)

			for number := range scenario.prompts {
				if _, listed := states[itemID(number)]; !listed {
					require.Contains(t, scenario.deadly, number)
				}
			}

			require.Len(t, states, len(scenario.prompts)-len(scenario.deadly), "no item is given up early")
		})
	}
}

// crashRunning crashes all servers at which a request runs, once there are two of them.
func (fleet *fleet) crashRunning() {
	running := []*emulator.EventServer{}

	require.Eventually(fleet.t, func() bool {
		running = slices.DeleteFunc(slices.Clone(fleet.servers), func(server *emulator.EventServer) bool { return server.InFlight() == 0 })

		return len(running) == 2
	}, 10*time.Second, 10*time.Millisecond)

	for _, server := range running {
		server.Crash()
	}

	// The handlers of the servers notice that their connections are closed.
	time.Sleep(50 * time.Millisecond)
}

// Servers that crash two at a time, twice, ended under two items that were sound. Both items were
// kept away from idle servers for 30 s and more.
func TestSoundItemsAreKeptAwayAfterServersCrashedTogether(t *testing.T) {
	newFleet(t, 1, 12, func(fleet *fleet) {
		for _, server := range fleet.servers {
			server.FirstEventDelay = 500 * time.Millisecond
		}

		fleet.submitPrompts([]string{"", ""})
		fleet.crashRunning()
		fleet.crashRunning()

		before := map[string]int{}
		for number := range 2 {
			before[itemID(number)] = fleet.startedCount(itemID(number))
		}

		// An item that no server had for 5 s, with idle ones there, counts as left.
		time.Sleep(5 * time.Second)

		for id, count := range before {
			_, listed := fleet.states()[id]
			require.True(t, listed || fleet.startedCount(id) > count, "item %s was left", id)
		}

		time.Sleep(5 * time.Second)
		require.Equal(t, map[string]bookkeeper.State{itemID(0): bookkeeper.Completed, itemID(1): bookkeeper.Completed}, fleet.states())
	})
}

// Items that each end servers by themselves look like servers that crash together. Later than
// three seconds after the third end by an item, it reaches at most three servers within its time.
func TestSeveralItemsThatEndServersAreSentAgainWithoutEnd(t *testing.T) {
	const (
		items   = 4
		settled = 3 * time.Second
	)

	newFleet(t, 2, 12, func(fleet *fleet) {
		own, prompts := []string{}, []string{}
		for number := range items {
			own, prompts = append(own, itemID(number)), append(prompts, "")
		}

		for _, server := range fleet.servers {
			server.SetDeadlyParts(own...)
		}

		fleet.submitPrompts(prompts)

		time.Sleep(time.Minute)

		for _, id := range own {
			require.LessOrEqual(t, fleet.lateRuns(id, settled), 3, "item %s", id)
		}
	})
}

// lateRuns returns how often an item with a deadly part reached servers later than the duration
// after it ended the third one.
func (fleet *fleet) lateRuns(id string, settled time.Duration) int {
	runs := []time.Time{}

	for _, server := range fleet.servers {
		for _, run := range server.DeadlyRuns() {
			if run.RequestID == id {
				runs = append(runs, run.At)
			}
		}
	}

	slices.SortFunc(runs, time.Time.Compare)
	fleet.t.Log(id, runs)

	if len(runs) < 3 {
		return 0
	}

	return len(slices.DeleteFunc(runs, func(at time.Time) bool { return at.Before(runs[2].Add(settled)) }))
}

// Items that were kept away run as soon as the part is sound again.
func TestKeptItemsRunOnceTheirPartIsSound(t *testing.T) {
	states, runs := map[string]bookkeeper.State{}, 0

	newFleet(t, 2, 8, func(fleet *fleet) {
		for _, server := range fleet.servers {
			server.SetDeadlyParts("x")
		}

		fleet.submitPrompts([]string{"a", "a,x", "a,x", "a,x", "a,x", "a,x"})
		time.Sleep(5 * time.Second)

		for _, server := range fleet.servers {
			server.SetDeadlyParts()
		}

		time.Sleep(35 * time.Second)

		states, runs = fleet.states(), fleet.deadlyRuns()
	})

	require.LessOrEqual(t, runs, 6)
	require.Len(t, states, 6)

	for _, state := range states {
		require.Equal(t, bookkeeper.Completed, state)
	}
}

// An answer with neither a length nor chunks ends with its connection. One that continues
// an item and ends before its first event does not complete the item.
func TestItemIsNotCompleteByAnAnswerWithoutLengthOrEvent(t *testing.T) {
	results := []bookkeeper.Result{}

	newFleet(t, 1, 4, func(fleet *fleet) {
		for _, server := range fleet.servers {
			// The server closes the connection and goes on.
			server.Crash = nil
			server.SetFaults(emulator.EventFaults{Unframed: true, BreakAfter: 7, BreakMidEvent: true})
		}

		fleet.submitPrompts([]string{""})
		time.Sleep(100 * time.Millisecond)

		for _, server := range fleet.servers {
			server.SetFaults(emulator.EventFaults{Unframed: true})
			server.SetDeadlyParts("a")
		}

		time.Sleep(2 * time.Second)

		for _, server := range fleet.servers {
			server.SetDeadlyParts()
		}

		time.Sleep(45 * time.Second)

		results, _ = fleet.readAll(0)
	})

	require.Len(t, results, 1)
	require.Equal(t, bookkeeper.Completed, results[0].State)
	require.Len(t, strings.Split(results[0].Output, "\n"), eventsPerItem)
}

// A stream without a length that ends because its server ended is not complete, although it
// ends between two events.
func TestItemIsNotCompleteWhenItsServerEnds(t *testing.T) {
	results := []bookkeeper.Result{}

	newFleet(t, 1, 4, func(fleet *fleet) {
		for _, server := range fleet.servers {
			server.SetFaults(emulator.EventFaults{Unframed: true, BreakAfter: 7, EndProcess: true})
		}

		fleet.submitPrompts([]string{""})
		time.Sleep(20 * time.Second)

		results, _ = fleet.readAll(0)
	})

	require.Len(t, results, 1)
	require.Len(t, strings.Split(results[0].Output, "\n"), eventsPerItem)
}

// An item is at two servers when another caller's request ends them. Once that request is known,
// nothing speaks against the item.
func TestSoundItemIsLeftAfterARequestEndedItsServers(t *testing.T) {
	newFleet(t, 1, 8, func(fleet *fleet) {
		for _, server := range fleet.servers {
			server.SetDeadlyParts(itemID(0))
		}

		fleet.submitPrompts([]string{""})
		require.Eventually(t, func() bool { return fleet.deadlyRuns() == 2 }, 5*time.Second, 10*time.Millisecond)

		deadly := quarantiner.Finding{Subject: quarantiner.Subject{Service: serviceName, Fingerprint: "deadly"}}

		for number, server := range fleet.servers {
			server.SetDeadlyParts()

			age := time.Duration(number+1) * time.Second
			deadly.Strikes = append(deadly.Strikes, quarantiner.FindingStrike{
				Incarnation: quarantiner.Incarnation{Server: server.ID}, RequestID: "r", Fingerprint: "deadly", SentAge: age, EndedAge: age - 50*time.Millisecond,
			})
		}

		fleet.gateways[0].batcher.Quarantiner.ApplyFindings("entry-2", []quarantiner.Finding{deadly})
		time.Sleep(8 * time.Second)
		require.Equal(t, map[string]bookkeeper.State{itemID(0): bookkeeper.Completed}, fleet.states())
	})
}
