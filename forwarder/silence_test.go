package forwarder_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/emulator"
	"limpetrail/forwarder"
	"limpetrail/matcher"
	"limpetrail/placer"
)

// silences are how long sound servers are silent before they go on.
func silences() []time.Duration {
	return []time.Duration{300 * time.Millisecond, time.Second, 1500 * time.Millisecond}
}

// occupy takes all places of a server at the placer, and returns how they are freed.
func (fleet *fleet) occupy(serverID string) func() {
	grants := []*placer.Grant{}

	for {
		decision := fleet.placer.Place(context.Background(), placer.Work{Service: serviceName, Exclude: fleet.others(serverID)})
		if decision.Verdict != placer.Placed {
			break
		}

		grants = append(grants, decision.Grant)
	}

	return func() {
		for _, grant := range grants {
			grant.Release()
		}
	}
}

func (fleet *fleet) others(serverID string) []string {
	others := []string{}

	for _, server := range fleet.servers {
		if server.ID != serverID {
			others = append(others, server.ID)
		}
	}

	return others
}

func expectedBody(kind matcher.Kind, id string) string {
	if kind == matcher.Stream {
		return eventStream(20)
	}

	return "answer to " + id
}

// A sound server falls silent while no other server has a free place, and goes on. Its answer was
// cut for the silence, or answered with 502.
func TestSilenceOfASoundServerEndsItsAnswer(t *testing.T) {
	for name, scenario := range map[string]struct {
		faults func(silence time.Duration) emulator.EventFaults
		kind   matcher.Kind
	}{
		"in a stream": {func(silence time.Duration) emulator.EventFaults {
			return emulator.EventFaults{StallAfter: 5, StallFor: silence}
		}, matcher.Stream},
		"before the first event": {func(silence time.Duration) emulator.EventFaults {
			return emulator.EventFaults{SilentBeforeHead: silence}
		}, matcher.Stream},
		"before a repeatable call": {func(silence time.Duration) emulator.EventFaults {
			return emulator.EventFaults{SilentBeforeHead: silence}
		}, matcher.Idempotent},
	} {
		for _, silence := range silences() {
			t.Run(fmt.Sprint(name, ", ", silence), func(t *testing.T) {
				result, body, id, runs := forwarder.Result{}, "", "", 0

				withFleet(t, 2, func(fleet *fleet) {
					defer fleet.occupy("server-2")()

					fleet.servers[0].SetFaults(scenario.faults(silence))

					if scenario.kind != matcher.Stream {
						fleet.servers[0].EventCount = 0
					}

					var answer *recordedAnswer

					result, answer, id = fleet.forward(context.Background(), route(scenario.kind, true, 2))
					body, runs = answer.body.String(), fleet.startedRuns(id)
				})

				require.Equal(t, forwarder.Answered.String(), result.Outcome.String(), result.Reason)
				require.Equal(t, expectedBody(scenario.kind, id), body)
				require.Equal(t, 1, runs)
			})
		}
	}
}

// Sound servers are each silent once in a while, and few places are free. Streams were cut.
func TestStreamsOfServersThatAreSilentInTurnAreCut(t *testing.T) {
	cut := make(chan string, 12)

	withFleet(t, 3, func(fleet *fleet) {
		for _, server := range fleet.servers {
			server.Places = 4
			server.SetFaults(emulator.EventFaults{StallAfter: 5, StallFor: time.Second})
		}

		fleet.listServers(4)

		calls := sync.WaitGroup{}

		for range cap(cut) {
			calls.Go(func() {
				result, answer, _ := fleet.forward(context.Background(), route(matcher.Stream, true, 3))
				if result.Outcome != forwarder.Answered || answer.body.String() != eventStream(20) {
					cut <- result.Reason
				}
			})
		}

		calls.Wait()
	})

	close(cut)
	require.Empty(t, cut, "%v", <-cut)
}

// A sound server is silent within the head or the body of its answer, at any byte. The answer was
// taken for a broken one.
func TestSilenceWithinAnAnswerBreaksIt(t *testing.T) {
	const headBytes = 20

	for name, scenario := range map[string]struct {
		route *matcher.Route
		after int
	}{
		"head, whole":  {route(matcher.Idempotent, false, 2), headBytes},
		"head, once":   {route(matcher.AtMostOnce, false, 1), headBytes},
		"head, stream": {route(matcher.Stream, true, 2), headBytes},
		"body, whole":  {route(matcher.Idempotent, false, 2), 190},
		"event":        {route(matcher.Stream, true, 2), 290},
		"event, once":  {route(matcher.Stream, false, 1), 290},
	} {
		for _, silence := range silences() {
			t.Run(fmt.Sprint(name, ", ", silence), func(t *testing.T) {
				result, body, id, runs := forwarder.Result{}, "", "", 0

				withFleet(t, 0, func(fleet *fleet) {
					server := emulator.NewEventServer("pausing", emulator.DefaultEventHeaders())
					if scenario.route.Kind != matcher.Stream {
						server.EventCount = 0
					}

					listener := emulator.PausingListener{Listener: fleet.network.Listen(server.ID), After: scenario.after, For: silence}
					httpServer := &http.Server{Handler: server, ReadHeaderTimeout: time.Minute}

					defer httpServer.Close()

					go func() { _ = httpServer.Serve(listener) }()

					fleet.placer.UpdateServers([]placer.Server{{ID: server.ID, Address: server.ID, Service: serviceName, Places: server.Places}})

					var answer *recordedAnswer

					result, answer, id = fleet.forward(context.Background(), scenario.route)
					body, runs = answer.body.String(), server.RunCount(id)
				})

				require.Equal(t, forwarder.Answered.String(), result.Outcome.String(), result.Reason)
				require.Equal(t, expectedBody(scenario.route.Kind, id), body)
				require.Equal(t, 1, runs)
			})
		}
	}
}
