package forwarder_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/emulator"
	"limpetrail/forwarder"
	"limpetrail/matcher"
)

// All servers of a scenario have the same fault, so that it does not matter which is
// chosen. Calls that may be resumed are retried; calls that may run once are not.
func TestOutcomeOfCallsAtFaultyServers(t *testing.T) {
	type expectation struct {
		outcome forwarder.Outcome
		// runs is how often the call was started.
		runs int
		// body is what was passed on to the caller, complete or not.
		body string
	}

	for name, scenario := range map[string]struct {
		faults    emulator.EventFaults
		resumable expectation
		once      expectation
	}{
		"no fault": {
			resumable: expectation{forwarder.Answered, 1, eventStream(20)},
			once:      expectation{forwarder.Answered, 1, eventStream(20)},
		},
		"streams break between two events": {
			faults:    emulator.EventFaults{BreakAfter: 12},
			resumable: expectation{forwarder.Answered, 2, eventStream(20)},
			once:      expectation{forwarder.Broken, 1, eventStream(12)},
		},
		"streams break within an event": {
			faults:    emulator.EventFaults{BreakAfter: 12, BreakMidEvent: true},
			resumable: expectation{forwarder.Answered, 2, eventStream(20)},
			once:      expectation{forwarder.Broken, 1, eventStream(12)},
		},
		"streams have no length": {
			faults:    emulator.EventFaults{Unframed: true},
			resumable: expectation{forwarder.Answered, 1, eventStream(20)},
			once:      expectation{forwarder.Answered, 1, eventStream(20)},
		},
		"streams without a length break within an event": {
			faults:    emulator.EventFaults{Unframed: true, BreakAfter: 12, BreakMidEvent: true},
			resumable: expectation{forwarder.Answered, 2, eventStream(20)},
			once:      expectation{forwarder.Broken, 1, eventStream(12)},
		},
		"servers end between two events of a stream without a length": {
			faults:    emulator.EventFaults{Unframed: true, BreakAfter: 12, EndProcess: true},
			resumable: expectation{forwarder.Answered, 2, eventStream(20)},
			once:      expectation{forwarder.Broken, 1, eventStream(12)},
		},
		"streams break before three attempts can finish them": {
			faults:    emulator.EventFaults{BreakAfter: 5},
			resumable: expectation{forwarder.Broken, 3, eventStream(15)},
			once:      expectation{forwarder.Broken, 1, eventStream(5)},
		},
		"streams stall": {
			faults:    emulator.EventFaults{StallAfter: 12},
			resumable: expectation{forwarder.Answered, 2, eventStream(20)},
			once:      expectation{forwarder.Broken, 1, eventStream(12)},
		},
		"streams stall but trickle bytes": {
			faults:    emulator.EventFaults{StallAfter: 12, TrickleInterval: 40 * time.Millisecond},
			resumable: expectation{forwarder.Answered, 2, eventStream(20)},
			once:      expectation{forwarder.Broken, 1, eventStream(12)},
		},
		"streams are slow but healthy": {
			faults:    emulator.EventFaults{SlowFactor: 5},
			resumable: expectation{forwarder.Answered, 1, eventStream(20)},
			once:      expectation{forwarder.Answered, 1, eventStream(20)},
		},
		"an event is skipped": {
			faults:    emulator.EventFaults{SkipEvent: 7},
			resumable: expectation{forwarder.Broken, 3, eventStream(7)},
			once:      expectation{forwarder.Broken, 1, eventStream(7)},
		},
		"servers never answer": {
			faults:    emulator.EventFaults{NeverAnswer: true},
			resumable: expectation{forwarder.TimedOut, 3, ""},
			once:      expectation{forwarder.TimedOut, 1, ""},
		},
		"servers answer 500": {
			faults:    emulator.EventFaults{FailStatus: 500},
			resumable: expectation{forwarder.Answered, 3, ""},
			once:      expectation{forwarder.Answered, 1, ""},
		},
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, 4, func(fleet *fleet) {
				fleet.setFaults(scenario.faults)

				for _, test := range []struct {
					route       *matcher.Route
					expectation expectation
				}{
					{route(matcher.Stream, true, 3), scenario.resumable},
					{route(matcher.Stream, false, 3), scenario.once},
				} {
					result, answer, id := fleet.forward(context.Background(), test.route)
					require.Equal(t, test.expectation.outcome.String(), result.Outcome.String(), result.Reason)
					require.Equal(t, test.expectation.body, answer.body.String())
					require.Equal(t, test.expectation.runs, fleet.startedRuns(id))
					require.LessOrEqual(t, answer.heads, 1)
				}
			})
		})
	}
}

// A slow, healthy stream must not be cut for its pauses when no other server can
// continue it.
func TestSlowStreamIsNotCutWithoutAnotherServer(t *testing.T) {
	withFleet(t, 1, func(fleet *fleet) {
		fleet.setFaults(emulator.EventFaults{SlowFactor: 8})

		result, answer, id := fleet.forward(context.Background(), route(matcher.Stream, true, 3))
		require.Equal(t, forwarder.Answered, result.Outcome, result.Reason)
		require.Equal(t, eventStream(20), answer.body.String())
		require.Equal(t, 1, fleet.startedRuns(id))
	})
}

// A stream that stalls is continued elsewhere before its route's longest allowed pause.
func TestStreamContinuesWithinAllowedPause(t *testing.T) {
	withFleet(t, 3, func(fleet *fleet) {
		fleet.setFaults(emulator.EventFaults{StallAfter: 12})

		result, answer, _ := fleet.forward(context.Background(), route(matcher.Stream, true, 3))
		require.Equal(t, forwarder.Answered, result.Outcome)
		require.Less(t, answer.longestPause, 250*time.Millisecond)
	})
}

// A failed connection proves that nothing ran, so even a call that may run only once is
// sent to another server.
func TestUnreachableServersFailNoCall(t *testing.T) {
	withFleet(t, 3, func(fleet *fleet) {
		fleet.stopServer(1)
		fleet.stopServer(2)

		for range 6 {
			result, answer, id := fleet.forward(context.Background(), route(matcher.Stream, false, 1))
			require.Equal(t, forwarder.Answered, result.Outcome, result.Reason)
			require.Equal(t, eventStream(20), answer.body.String())
			require.Equal(t, 1, fleet.startedRuns(id))
		}
	})
}

// A call that is refused must not have been started by any server, nor be started later.
func TestRefusedCallHasNotRun(t *testing.T) {
	withFleet(t, 2, func(fleet *fleet) {
		fleet.stopServer(0)
		fleet.stopServer(1)

		result, answer, id := fleet.forward(context.Background(), route(matcher.Stream, false, 1))
		require.Equal(t, forwarder.Refused, result.Outcome)
		require.Positive(t, result.RetryAfter)
		require.Zero(t, answer.heads)

		time.Sleep(time.Minute)
		require.Zero(t, fleet.startedRuns(id))
	})
}

// When the caller disconnects, the server stops running the call at once.
func TestServerStopsWhenTheCallerDisconnects(t *testing.T) {
	withFleet(t, 1, func(fleet *fleet) {
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(200*time.Millisecond, cancel)

		startedAt := time.Now()
		result, _, _ := fleet.forward(ctx, route(matcher.Stream, true, 3))
		require.Equal(t, forwarder.Cancelled, result.Outcome)
		require.Less(t, time.Since(startedAt), 210*time.Millisecond)

		time.Sleep(100 * time.Millisecond)
		require.Zero(t, fleet.servers[0].InFlight())
	})
}

// Retries must not multiply an overload: calls at servers ten times as slow as usual are
// not all sent twice.
func TestRetriesOfSlowServersAreBounded(t *testing.T) {
	withFleet(t, 4, func(fleet *fleet) {
		fleet.setFaults(emulator.EventFaults{SlowFactor: 10})

		const calls = 200

		runs := 0

		for range calls {
			_, _, id := fleet.forward(context.Background(), route(matcher.Stream, true, 3))
			runs += fleet.startedRuns(id)
		}

		// The retry budget is a tenth of the answers and a burst of 20.
		require.LessOrEqual(t, runs, calls+calls/10+20+1)
	})
}

// A plain answer that breaks off is retried before any of it is passed on.
func TestIncompletePlainAnswerIsNotPassedOn(t *testing.T) {
	withFleet(t, 2, func(fleet *fleet) {
		for _, server := range fleet.servers {
			server.EventCount = 0
		}

		result, answer, id := fleet.forward(context.Background(), route(matcher.Idempotent, false, 3))
		require.Equal(t, forwarder.Answered, result.Outcome)
		require.Equal(t, "answer to "+id, answer.body.String())

		fleet.setFaults(emulator.EventFaults{NeverAnswer: true})

		result, answer, id = fleet.forward(context.Background(), route(matcher.Idempotent, false, 2))
		require.NotEqual(t, forwarder.Answered, result.Outcome)
		require.Zero(t, answer.heads)
		require.Equal(t, 2, fleet.startedRuns(id))
	})
}
