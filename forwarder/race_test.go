package forwarder_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/emulator"
	"limpetrail/forwarder"
	"limpetrail/matcher"
	"limpetrail/placer"
)

// scriptedBackend sends calls as its backend does, but for one server.
type scriptedBackend struct {
	forwarder.Backend

	server string
	send   func(ctx context.Context) (forwarder.Reply, error)
}

func (backend scriptedBackend) Send(ctx context.Context, server placer.Server, call *forwarder.Call, attempt forwarder.Attempt) (forwarder.Reply, error) {
	if server.ID == backend.server {
		return backend.send(ctx)
	}

	return backend.Backend.Send(ctx, server, call, attempt)
}

// callAtFleet forwards a call at a fleet of two servers and returns what came of it, with its runs.
func callAtFleet(t *testing.T, called *matcher.Route, prepare func(fleet *fleet)) (forwarder.Result, string, int) {
	t.Helper()

	result, body, runs := forwarder.Result{}, "", 0

	withFleet(t, 2, func(fleet *fleet) {
		prepare(fleet)

		var (
			answer *recordedAnswer
			id     string
		)

		result, answer, id = fleet.forward(context.Background(), called)
		body, runs = answer.body.String(), fleet.startedRuns(id)
	})

	return result, body, runs
}

// An answer of more than maxBufferedBytes that was read whole closed its connection.
func TestLongAnswersCloseTheirConnections(t *testing.T) {
	dials := 0

	withFleet(t, 1, func(fleet *fleet) {
		fleet.setFaults(emulator.EventFaults{Padding: strings.Repeat("x", 10<<10)})

		for range 3 {
			fleet.forward(context.Background(), route(matcher.Idempotent, false, 1))
		}

		dials = fleet.network.DialCount("server-1")
	})

	require.Equal(t, 1, dials)
}

// The place of another server frees some time after the silent one has ended. The call ended with
// the wait of the attempt beside the silent one, which had begun long before.
func TestWaitBesideASilentServerEndsACall(t *testing.T) {
	result, body, _ := callAtFleet(t, route(matcher.Stream, true, 2), func(fleet *fleet) {
		fleet.servers[0].SetFaults(emulator.EventFaults{StallAfter: 5})
		free := fleet.occupy("server-2")

		time.AfterFunc(1200*time.Millisecond, func() { fleet.stopServer(0) })
		time.AfterFunc(1700*time.Millisecond, free)
	})

	require.Equal(t, forwarder.Answered.String(), result.Outcome.String(), result.Reason)
	require.Equal(t, eventStream(20), body)
}

// A server rejects the call after a silence, and the attempt beside it gets no place. The caller was
// told to come back at once.
func TestRefusalAfterASilenceNamesNoTime(t *testing.T) {
	result, _, runs := callAtFleet(t, route(matcher.Idempotent, false, 2), func(fleet *fleet) {
		fleet.occupy("server-1")

		fleet.forwarder.Backend = scriptedBackend{fleet.backend, "server-2", func(context.Context) (forwarder.Reply, error) {
			time.Sleep(300 * time.Millisecond)

			return forwarder.Reply{Kind: forwarder.Full}, nil
		}}
	})

	require.Equal(t, forwarder.Refused.String(), result.Outcome.String(), result.Reason)
	require.Positive(t, result.RetryAfter)
	require.Zero(t, runs)
}

// A silent server goes on before the other one answers, and breaks off later. The other one, which
// was only not needed, was not asked again.
func TestServerThatWasNotNeededIsNotAskedAgain(t *testing.T) {
	result, body, runs := callAtFleet(t, route(matcher.Stream, true, 3), func(fleet *fleet) {
		fleet.servers[0].SetFaults(emulator.EventFaults{StallAfter: 5, StallFor: 200 * time.Millisecond, BreakAfter: 10})
		fleet.servers[1].FirstEventDelay = 100 * time.Millisecond
		time.AfterFunc(100*time.Millisecond, fleet.occupy("server-2"))
	})

	require.Equal(t, forwarder.Answered.String(), result.Outcome.String(), result.Reason)
	require.Equal(t, eventStream(20), body)
	require.Equal(t, 3, runs)
}

// A server has a second to answer and is asked beside silent ones, for less. It was taken for silent and
// got no more work.
func TestServerThatWasNotNeededIsTakenForSilent(t *testing.T) {
	suspects := []placer.Server{}

	withFleet(t, 3, func(fleet *fleet) {
		fleet.servers[0].SetFaults(emulator.EventFaults{StallAfter: 5, StallFor: 600 * time.Millisecond})
		fleet.servers[1].FirstEventDelay = 400 * time.Millisecond
		time.AfterFunc(100*time.Millisecond, fleet.occupy("server-2"))

		defer fleet.occupy("server-3")()

		called := route(matcher.Stream, true, 2)
		called.LatencyTarget = 2 * time.Second

		for range 2 {
			fleet.forward(context.Background(), called)
		}

		suspects = fleet.placer.SuspectServers()
	})

	require.Empty(t, suspects)
}

// A server never goes on, and the other one is slow to begin. The call waited for the dead one until
// its time ended.
func TestServerThatNeverGoesOnKeepsItsStream(t *testing.T) {
	for name, faults := range map[string]emulator.EventFaults{"before the head": {NeverAnswer: true}, "in the stream": {StallAfter: 5}} {
		// With three attempts there is no third server.
		for _, attempts := range []int{2, 3} {
			t.Run(fmt.Sprint(name, ", ", attempts), func(t *testing.T) {
				result, body, _ := callAtFleet(t, route(matcher.Stream, true, attempts), func(fleet *fleet) {
					fleet.servers[0].SetFaults(faults)
					fleet.servers[1].FirstEventDelay = 400 * time.Millisecond
					time.AfterFunc(100*time.Millisecond, fleet.occupy("server-2"))
				})

				require.Equal(t, forwarder.Answered.String(), result.Outcome.String(), result.Reason)
				require.Equal(t, eventStream(20), body)
			})
		}
	}
}
