package forwarder_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/emulator"
	"limpetrail/forwarder"
	"limpetrail/matcher"
)

const (
	deadlyBody = "deadly body"
	// maxLateRuns is how often a deadly request may be sent later than learningTime after the
	// third server ended by it.
	maxLateRuns = 3
)

// sendAgainAndAgain sends the deadly request, and a sound one each time, for 28 s. It returns the
// last result of the deadly one.
func (load *deadlyLoad) sendAgainAndAgain(route *matcher.Route, parts string) forwarder.Result {
	last := forwarder.Result{}

	for number := range 40 {
		load.calls.Go(func() {
			sound, _, _ := load.fleet.forwardBody(context.Background(), route, parts, fmt.Sprint("sound ", number))

			load.mutex.Lock()
			defer load.mutex.Unlock()

			if sound.Outcome == forwarder.Answered {
				load.begun++
			}
		})

		last, _, _ = load.fleet.forwardBody(context.Background(), route, parts, deadlyBody)
		time.Sleep(700 * time.Millisecond)
	}

	load.calls.Wait()

	return last
}

// countLate counts the runs later than learningTime after so many free ones.
func countLate(runs []time.Time, free int) int {
	late := 0

	for _, run := range runs {
		if len(runs) > free && run.Sub(runs[free-1]) > learningTime {
			late++
		}
	}

	return late
}

// A request ends each server that begins to run it, and its caller sends it again and again. It
// must be refused as not run after a few, whether or not it has a prompt; other requests with the
// same path and prompt are served.
func TestRequestEndsServerAfterServer(t *testing.T) {
	for name, scenario := range map[string]struct {
		route *matcher.Route
		// whole answers have no events.
		whole bool
		parts string
	}{
		"whole answers without a prompt": {route(matcher.Idempotent, false, 2), true, ""},
		"many attempts":                  {route(matcher.Idempotent, false, 6), true, ""},
		"one attempt":                    {route(matcher.AtMostOnce, false, 1), true, ""},
		"streams without a prompt":       {route(matcher.Stream, true, 3), false, ""},
		"streams with a prompt":          {route(matcher.Stream, true, 2), false, soundParts},
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, 12, func(fleet *fleet) {
				for _, server := range fleet.servers {
					server.SetDeadlyBody(deadlyBody)

					if scenario.whole {
						server.EventCount = 0
					}
				}

				checks, stopChecks := context.WithCancel(context.Background())
				defer stopChecks()

				go fleet.checkSuspects(checks)

				load := &deadlyLoad{fleet: fleet}
				last := load.sendAgainAndAgain(scenario.route, scenario.parts)

				require.Equal(t, forwarder.Refused, last.Outcome)
				require.Positive(t, last.RetryAfter)

				runs := fleet.deadlyRuns()
				require.LessOrEqual(t, countLate(runs, 3), maxLateRuns, "%d runs", len(runs))
				require.LessOrEqual(t, len(runs), 6)
				require.GreaterOrEqual(t, load.begun, 35)
			})
		})
	}
}

// A sound request that ran at two servers as these ended is served when its caller comes back.
func TestSoundRequestIsRefusedAfterServersEndedByThemselves(t *testing.T) {
	withFleet(t, 4, func(fleet *fleet) {
		for _, server := range fleet.servers {
			server.EventCount = 0
			server.SetFaults(emulator.EventFaults{Unframed: true, EndProcess: true})
		}

		sound := route(matcher.Idempotent, false, 2)
		result, _, _ := fleet.forward(context.Background(), sound)
		require.Equal(t, forwarder.Failed, result.Outcome)

		fleet.setFaults(emulator.EventFaults{})

		result, _, _ = fleet.forward(context.Background(), sound)
		if result.Outcome == forwarder.Refused {
			require.LessOrEqual(t, result.RetryAfter, time.Second)
			time.Sleep(result.RetryAfter)

			result, _, _ = fleet.forward(context.Background(), sound)
		}

		require.Equal(t, forwarder.Answered, result.Outcome, result.Reason)
	})
}
