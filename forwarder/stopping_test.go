package forwarder_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/forwarder"
	"limpetrail/matcher"
	"limpetrail/stopper"
)

const (
	// stopLag and stopGrace leave five seconds to a call that comes right after the lag.
	stopLag   = 2500 * time.Millisecond
	stopGrace = 8300 * time.Millisecond
)

// Calls that came during a stop were sent to backend servers although they could not end within it,
// also those that may not be repeated.
func TestCallsThatOutlastAStopAreSent(t *testing.T) {
	for name, scenario := range map[string]struct {
		repeatable bool
		// earlier is how long a call of the route took before the stop; 0 if there was none.
		earlier time.Duration
		// arrival is when the call comes, from the beginning of the stop.
		arrival time.Duration
		outcome forwarder.Outcome
	}{
		"of unknown length":                        {arrival: time.Second, outcome: forwarder.Refused},
		"of unknown length, repeatable":            {repeatable: true, arrival: time.Second, outcome: forwarder.Answered},
		"of unknown length, repeatable, after lag": {repeatable: true, arrival: 3 * time.Second, outcome: forwarder.Refused},
		"that are short":                           {earlier: 2 * time.Second, arrival: time.Second, outcome: forwarder.Answered},
		"that are short, after lag":                {earlier: 2 * time.Second, arrival: 3 * time.Second, outcome: forwarder.Answered},
		"that are short, near the end":             {earlier: 2 * time.Second, arrival: 6 * time.Second, outcome: forwarder.Refused},
		"that are long":                            {earlier: 7 * time.Second, arrival: time.Second, outcome: forwarder.Refused},
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, 1, func(fleet *fleet) {
				fleet.forwarder.Stopper = stopper.NewStopper(stopLag, stopGrace)
				called := route(matcher.AtMostOnce, false, 1)

				if scenario.repeatable {
					called.Kind = matcher.Idempotent
				}

				called.Timeout = time.Minute
				server := fleet.servers[0]
				server.EventCount = 0

				if scenario.earlier > 0 {
					server.FirstEventDelay = scenario.earlier
					result, _, _ := fleet.forward(context.Background(), called)
					require.Equal(t, forwarder.Answered, result.Outcome)
				}

				fleet.forwarder.Stopper.Begin()
				time.Sleep(scenario.arrival)

				result, _, id := fleet.forward(context.Background(), called)
				require.Equal(t, scenario.outcome, result.Outcome)
				require.Equal(t, scenario.outcome == forwarder.Refused, fleet.startedRuns(id) == 0)
				require.Equal(t, scenario.outcome == forwarder.Refused, result.RetryAfter > 0)
			})
		})
	}
}

// Calls that still ran at the end of a stop were cut off like those of callers who had left.
func TestCallsAtTheEndOfAStopGetNoAnswer(t *testing.T) {
	for name, scenario := range map[string]struct {
		events int
		// ahead is how many calls run already.
		ahead   int
		outcome forwarder.Outcome
	}{
		"without an event": {outcome: forwarder.Failed},
		"amid a stream":    {events: 100, outcome: forwarder.Broken},
		"in the queue":     {ahead: 8, outcome: forwarder.Refused},
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, 1, func(fleet *fleet) {
				server := fleet.servers[0]
				server.EventCount, server.FirstEventDelay, server.EventInterval = scenario.events, time.Minute, 100*time.Millisecond

				if scenario.events > 0 {
					server.FirstEventDelay = 0
				}

				called := route(matcher.Stream, false, 1)
				called.Timeout, called.LatencyTarget = time.Minute, time.Minute
				ahead := sync.WaitGroup{}

				for range scenario.ahead {
					ahead.Go(func() { fleet.forward(context.Background(), called) })
				}

				defer ahead.Wait()

				synctest.Wait()

				stop := stopper.NewStopper(stopLag, stopGrace)
				stop.Begin()

				ctx, release := stop.Context(context.Background())
				defer release()

				begun := time.Now()
				// The forwarder does not know of the stop, as if it had begun after the call.
				result, _, id := fleet.forward(ctx, called)

				require.Equal(t, scenario.outcome, result.Outcome, result.Reason)
				require.Equal(t, scenario.outcome == forwarder.Refused, fleet.startedRuns(id) == 0)

				require.Equal(t, 7500*time.Millisecond, time.Since(begun), "0.8 s before the end of the grace")
			})
		})
	}
}
