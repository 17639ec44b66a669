package batcher_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/emulator"
	"limpetrail/placer"
)

// silences are how long sound servers are silent before they go on.
func silences() []time.Duration {
	return []time.Duration{300 * time.Millisecond, time.Second, 1500 * time.Millisecond, 2500 * time.Millisecond}
}

// addPausingServer starts a server that falls silent once in each answer, within an event.
func (fleet *fleet) addPausingServer(silence time.Duration) {
	const bytesBefore = 290

	server := emulator.NewEventServer("pausing", emulator.DefaultEventHeaders())
	httpServer := &http.Server{Handler: server, ReadHeaderTimeout: time.Hour}
	listener := emulator.PausingListener{Listener: fleet.network.Listen(server.ID), After: bytesBefore, For: silence}
	fleet.servers, fleet.httpServers = append(fleet.servers, server), append(fleet.httpServers, httpServer)

	fleet.goroutines.Go(func() { _ = httpServer.Serve(listener) })
	fleet.gateways[0].placer.UpdateServers([]placer.Server{{ID: server.ID, Address: server.ID, Service: serviceName, Places: server.Places}})
}

// completeOne submits a job of one item, and returns its output once it is listed, at most 30 s later, and
// how long that took.
func (fleet *fleet) completeOne() (string, time.Duration) {
	const limit = 30 * time.Second

	startedAt := time.Now()

	fleet.submit(0, 1)

	for time.Since(startedAt) < limit {
		if results, _ := fleet.readAll(0); len(results) == 1 {
			return results[0].Output, time.Since(startedAt)
		}

		time.Sleep(100 * time.Millisecond)
	}

	return "not listed", limit
}

// A sound server falls silent and goes on, and no other server has a place. The item's run was given up
// for the silence, and another one was made.
func TestSilenceOfASoundServerEndsTheRunOfAnItem(t *testing.T) {
	for name, faults := range map[string]func(time.Duration) emulator.EventFaults{
		"before the first event": func(silence time.Duration) emulator.EventFaults {
			return emulator.EventFaults{SilentBeforeHead: silence}
		},
		"between two events": func(silence time.Duration) emulator.EventFaults {
			return emulator.EventFaults{StallAfter: 5, StallFor: silence}
		},
		"within an event": nil,
	} {
		for _, silence := range silences() {
			t.Run(fmt.Sprint(name, ", ", silence), func(t *testing.T) {
				output, runs, duration := "", 0, time.Duration(0)

				servers := 1
				if faults == nil {
					servers = 0
				}

				newFleet(t, 1, servers, func(fleet *fleet) {
					if faults == nil {
						fleet.addPausingServer(silence)
					} else {
						fleet.setServerFaults(faults(silence))
					}

					output, duration = fleet.completeOne()
					runs = fleet.startedCount(itemID(0))
				})

				require.Equal(t, 1, runs, "listed after %v", duration)
				require.Equal(t, expectedOutput(), output)
			})
		}
	}
}

// preferFirst lets the first server have the most places, so that it gets the first run.
func (fleet *fleet) preferFirst() {
	list := []placer.Server{}
	for index, server := range fleet.servers {
		list = append(list, placer.Server{ID: server.ID, Address: server.ID, Service: serviceName, Places: server.Places - 2*index})
	}

	fleet.gateways[0].placer.UpdateServers(list)
}

// The run at a silent server ends only for another one that has brought the next event. Whatever else
// becomes of the other one, the silent one goes on.
func TestRunAtASilentServerEndsBeforeAnotherOneBringsAnEvent(t *testing.T) {
	const silence = 2500 * time.Millisecond

	stalled := emulator.EventFaults{StallAfter: 5, StallFor: silence}

	for name, scenario := range map[string]struct {
		silent, other emulator.EventFaults
		// otherResumes holds where the runs at the other server begin.
		otherResumes []int
		// within is less than the item needs if its silent run ends for another reason.
		within time.Duration
	}{
		"stream stops":               {emulator.EventFaults{StallAfter: 5}, emulator.EventFaults{}, []int{4}, 4 * time.Second},
		"stream trickles":            {emulator.EventFaults{StallAfter: 5, TrickleInterval: 100 * time.Millisecond}, emulator.EventFaults{}, []int{4}, 4 * time.Second},
		"no answer":                  {emulator.EventFaults{NeverAnswer: true}, emulator.EventFaults{}, []int{-1}, 4 * time.Second},
		"the other one is silent":    {stalled, emulator.EventFaults{NeverAnswer: true}, []int{4}, 5 * time.Second},
		"the other one fails":        {stalled, emulator.EventFaults{FailStatus: http.StatusInternalServerError}, []int{4}, 5 * time.Second},
		"the other one refuses":      {stalled, emulator.EventFaults{FailStatus: http.StatusServiceUnavailable}, []int{4}, 5 * time.Second},
		"impossible at the other":    {stalled, emulator.EventFaults{FailStatus: http.StatusUnprocessableEntity}, []int{4}, 5 * time.Second},
		"the other one skips events": {stalled, emulator.EventFaults{SkipEvent: 5}, []int{4}, 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			output, runs, resumes, duration, overlap := "", 0, []int{}, time.Duration(0), time.Duration(0)

			newFleet(t, 1, 2, func(fleet *fleet) {
				fleet.preferFirst()
				fleet.servers[0].SetFaults(scenario.silent)
				fleet.servers[1].SetFaults(scenario.other)

				measured := fleet.measureOverlap()
				output, duration = fleet.completeOne()
				overlap = measured()
				runs, resumes = fleet.servers[0].RunCount(itemID(0)), fleet.servers[1].ResumedAfter(itemID(0))
			})

			require.Equal(t, expectedOutput(), output)
			require.Equal(t, 1, runs)
			require.Equal(t, scenario.otherResumes, resumes)
			require.Less(t, duration, scenario.within)
			require.LessOrEqual(t, overlap, 310*time.Millisecond)
		})
	}
}

// measureOverlap returns a function that returns how long two servers worked at the same time.
func (fleet *fleet) measureOverlap() func() time.Duration {
	const interval = 10 * time.Millisecond

	overlap, stopped := time.Duration(0), make(chan struct{})
	done := make(chan struct{})

	go func() {
		defer close(done)

		for {
			select {
			case <-time.After(interval):
			case <-stopped:
				return
			}

			if fleet.servers[0].InFlight() > 0 && fleet.servers[1].InFlight() > 0 {
				overlap += interval
			}
		}
	}()

	return func() time.Duration {
		close(stopped)
		<-done

		return overlap
	}
}

// A connection fell silent for good while its server is sound and the only one. The item waited for ever.
func TestItemHangsAtAConnectionThatIsSilentForGood(t *testing.T) {
	output, resumes, duration := "", []int{}, time.Duration(0)

	newFleet(t, 1, 1, func(fleet *fleet) {
		fleet.servers[0].SetFaults(emulator.EventFaults{StallAfter: 5})
		time.AfterFunc(time.Second, func() { fleet.servers[0].SetFaults(emulator.EventFaults{}) })

		output, duration = fleet.completeOne()
		resumes = fleet.servers[0].ResumedAfter(itemID(0))
	})

	require.Equal(t, expectedOutput(), output)
	require.Equal(t, []int{-1, 4}, resumes)
	require.Less(t, duration, 8*time.Second)
}

// Online work that takes the places of both runs of an item got them late, or not.
func TestOnlineWorkWaitsForTheRunsOfAnItem(t *testing.T) {
	output, running, left := "", false, -1

	newFleet(t, 1, 2, func(fleet *fleet) {
		fleet.preferFirst()
		fleet.setServerFaults(emulator.EventFaults{NeverAnswer: true})
		fleet.submit(0, 1)

		for range 300 {
			time.Sleep(10 * time.Millisecond)

			if running = fleet.servers[0].InFlight() == 1 && fleet.servers[1].InFlight() == 1; running {
				break
			}
		}

		fleet.setServerFaults(emulator.EventFaults{})

		grants := []*placer.Grant{}

		for {
			decision := fleet.gateways[0].placer.Place(context.Background(), placer.Work{Service: serviceName})
			if decision.Verdict != placer.Placed {
				break
			}

			grants = append(grants, decision.Grant)
		}

		time.Sleep(10 * time.Millisecond)

		left = fleet.servers[0].InFlight() + fleet.servers[1].InFlight()

		for _, grant := range grants {
			grant.Release()
		}

		output, _ = fleet.completeOne()
	})

	require.True(t, running)
	require.Zero(t, left)
	require.Equal(t, expectedOutput(), output)
}

// An item that fails at each run was sent again and again beside a silent run.
func TestFailuresBesideASilentRunAreNotCounted(t *testing.T) {
	for status, expected := range map[int]int{http.StatusInternalServerError: 3, http.StatusUnprocessableEntity: 1} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			failures, output := 0, ""

			newFleet(t, 1, 4, func(fleet *fleet) {
				fleet.preferFirst()
				fleet.setServerFaults(emulator.EventFaults{FailStatus: status})
				fleet.servers[0].SetFaults(emulator.EventFaults{NeverAnswer: true})

				output, _ = fleet.completeOne()
				time.Sleep(time.Minute)

				failures = fleet.startedCount(itemID(0)) - fleet.servers[0].RunCount(itemID(0))
			})

			require.Empty(t, output, "no output is listed")
			require.Equal(t, expected, failures)
		})
	}
}

// One silent run, beside which others are made, counted as several and made its server suspect.
func TestOneSilentRunMakesItsServerSuspect(t *testing.T) {
	output, suspect := "", false

	newFleet(t, 1, 4, func(fleet *fleet) {
		fleet.setServerFaults(emulator.EventFaults{NeverAnswer: true})
		fleet.preferFirst()
		fleet.servers[0].SetFaults(emulator.EventFaults{StallAfter: 5, StallFor: 4500 * time.Millisecond})
		fleet.submit(0, 1)

		for range 600 {
			time.Sleep(10 * time.Millisecond)

			for _, status := range fleet.gateways[0].placer.Status() {
				suspect = suspect || status.ID == "server-1" && status.Suspect
			}
		}

		output, _ = fleet.completeOne()
	})

	require.Equal(t, expectedOutput(), output)
	require.False(t, suspect)
}
