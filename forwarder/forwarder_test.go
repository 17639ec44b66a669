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

// Each scenario has three servers with the same fault, so that it does not
// matter which is chosen, and says how a call of each kind ends.
func TestEndOfACall(t *testing.T) {
	type ending struct {
		kind forwarder.Kind
		// runs is how often the call began to run.
		runs int
		// body is the whole answer, or the part that was passed on.
		body string
	}

	for name, scenario := range map[string]struct {
		faults    emulator.EventFaults
		resumable ending
		once      ending
	}{
		"no fault": {
			resumable: ending{forwarder.Answered, 1, whole(20)},
			once:      ending{forwarder.Answered, 1, whole(20)},
		},
		"streams break between two events": {
			faults:    emulator.EventFaults{BreakAfter: 12},
			resumable: ending{forwarder.Answered, 2, whole(20)},
			once:      ending{forwarder.Broken, 1, whole(12)},
		},
		"streams break within an event": {
			faults:    emulator.EventFaults{BreakAfter: 12, BreakWithin: true},
			resumable: ending{forwarder.Answered, 2, whole(20)},
			once:      ending{forwarder.Broken, 1, whole(12)},
		},
		"streams break sooner than attempts can finish": {
			faults:    emulator.EventFaults{BreakAfter: 5},
			resumable: ending{forwarder.Broken, 3, whole(15)},
			once:      ending{forwarder.Broken, 1, whole(5)},
		},
		"streams fall silent": {
			faults:    emulator.EventFaults{StallAfter: 12},
			resumable: ending{forwarder.Answered, 2, whole(20)},
			once:      ending{forwarder.Broken, 1, whole(12)},
		},
		"streams send a byte now and then": {
			faults:    emulator.EventFaults{StallAfter: 12, Trickle: 40 * time.Millisecond},
			resumable: ending{forwarder.Answered, 2, whole(20)},
			once:      ending{forwarder.Broken, 1, whole(12)},
		},
		"streams are slow but sound": {
			faults:    emulator.EventFaults{Slow: 5},
			resumable: ending{forwarder.Answered, 1, whole(20)},
			once:      ending{forwarder.Answered, 1, whole(20)},
		},
		"an event is left out": {
			faults:    emulator.EventFaults{SkipEvent: 7},
			resumable: ending{forwarder.Broken, 3, whole(7)},
			once:      ending{forwarder.Broken, 1, whole(7)},
		},
		"servers are dark": {
			faults:    emulator.EventFaults{Dark: true},
			resumable: ending{forwarder.TimedOut, 3, ""},
			once:      ending{forwarder.TimedOut, 1, ""},
		},
		"servers fail": {
			faults:    emulator.EventFaults{Fail: 500},
			resumable: ending{forwarder.Answered, 3, ""},
			once:      ending{forwarder.Answered, 1, ""},
		},
	} {
		t.Run(name, func(t *testing.T) {
			newFleet(t, 4, func(fleet *fleet) {
				fleet.all(scenario.faults)

				for _, expected := range []struct {
					route  *matcher.Route
					ending ending
				}{
					{route(matcher.Stream, true, 3), scenario.resumable},
					{route(matcher.Stream, false, 3), scenario.once},
				} {
					result, got, id := fleet.when(context.Background(), expected.route)
					require.Equal(t, expected.ending.kind.String(), result.Kind.String(), result.Reason)
					require.Equal(t, expected.ending.body, got.body.String())
					require.Equal(t, expected.ending.runs, fleet.started(id))
					require.LessOrEqual(t, got.begun, 1)
				}
			})
		})
	}
}

// Silence of a slow, sound server ends no answer where no other server can go on.
func TestSlowStreamIsNotCutWithoutAnotherServer(t *testing.T) {
	newFleet(t, 1, func(fleet *fleet) {
		fleet.all(emulator.EventFaults{Slow: 8})

		result, got, id := fleet.when(context.Background(), route(matcher.Stream, true, 3))
		require.Equal(t, forwarder.Answered, result.Kind, result.Reason)
		require.Equal(t, whole(20), got.body.String())
		require.Equal(t, 1, fleet.started(id))
	})
}

// A stream that goes on elsewhere has no pause that its route forbids.
func TestStreamGoesOnInTime(t *testing.T) {
	newFleet(t, 3, func(fleet *fleet) {
		fleet.all(emulator.EventFaults{StallAfter: 12})

		result, got, _ := fleet.when(context.Background(), route(matcher.Stream, true, 3))
		require.Equal(t, forwarder.Answered, result.Kind)
		require.Less(t, got.longest, 250*time.Millisecond)
	})
}

// A connection that was not made proves that nothing ran, so that even a call
// that may run once goes elsewhere.
func TestUnreachableServersCostNoCall(t *testing.T) {
	newFleet(t, 3, func(fleet *fleet) {
		fleet.refuse(1)
		fleet.refuse(2)

		for range 6 {
			result, got, id := fleet.when(context.Background(), route(matcher.Stream, false, 1))
			require.Equal(t, forwarder.Answered, result.Kind, result.Reason)
			require.Equal(t, whole(20), got.body.String())
			require.Equal(t, 1, fleet.started(id))
		}
	})
}

// A refusal is true: no server has begun the call, and none does later.
func TestRefusedCallHasNotRun(t *testing.T) {
	newFleet(t, 2, func(fleet *fleet) {
		fleet.refuse(0)
		fleet.refuse(1)

		result, got, id := fleet.when(context.Background(), route(matcher.Stream, false, 1))
		require.Equal(t, forwarder.Refused, result.Kind)
		require.Positive(t, result.RetryAfter)
		require.Zero(t, got.begun)

		time.Sleep(time.Minute)
		require.Zero(t, fleet.started(id))
	})
}

// The caller's leaving reaches the server at once.
func TestServerStopsWhenTheCallerLeaves(t *testing.T) {
	newFleet(t, 1, func(fleet *fleet) {
		ctx, leave := context.WithCancel(context.Background())
		time.AfterFunc(200*time.Millisecond, leave)

		begun := time.Now()
		result, _, _ := fleet.when(ctx, route(matcher.Stream, true, 3))
		require.Equal(t, forwarder.Left, result.Kind)
		require.Less(t, time.Since(begun), 210*time.Millisecond)

		time.Sleep(100 * time.Millisecond)
		require.Zero(t, fleet.servers[0].Running())
	})
}

// Repeats are bounded in an overload: servers ten times as slow as usual are
// not asked twice for each call.
func TestSlownessIsNotMultipliedByRepeats(t *testing.T) {
	newFleet(t, 4, func(fleet *fleet) {
		fleet.all(emulator.EventFaults{Slow: 10})

		const calls = 200

		runs := 0

		for range calls {
			_, _, id := fleet.when(context.Background(), route(matcher.Stream, true, 3))
			runs += fleet.started(id)
		}

		// The budget: a tenth of the answers and a burst of 20.
		require.LessOrEqual(t, runs, calls+calls/10+20+1)
	})
}

// A plain answer that breaks off is asked for again before any of it is shown.
func TestPlainAnswersAreWholeOrNone(t *testing.T) {
	newFleet(t, 2, func(fleet *fleet) {
		for _, server := range fleet.servers {
			server.Events = 0
		}

		result, got, id := fleet.when(context.Background(), route(matcher.Idempotent, false, 3))
		require.Equal(t, forwarder.Answered, result.Kind)
		require.Equal(t, "answer to "+id, got.body.String())

		fleet.all(emulator.EventFaults{Dark: true})

		result, got, id = fleet.when(context.Background(), route(matcher.Idempotent, false, 2))
		require.NotEqual(t, forwarder.Answered, result.Kind)
		require.Zero(t, got.begun)
		require.Equal(t, 2, fleet.started(id))
	})
}
