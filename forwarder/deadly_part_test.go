package forwarder_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/emulator"
	"limpetrail/forwarder"
	"limpetrail/matcher"
)

const (
	deadlyPart = "deadly"
	// soundParts are held by sound calls, and by deadly ones before the deadly part.
	soundParts = "first,caller"
	// learningTime is the time after the fifth crash in which calls may still reach servers.
	learningTime = 3 * time.Second
)

// deadlyLoad is a load of sound calls, some of which hold the deadly part as well.
type deadlyLoad struct {
	fleet *fleet
	calls sync.WaitGroup

	mutex sync.Mutex
	// begun and soundCalls count the sound calls, and those that got an event or all.
	begun, soundCalls int
	deadlyResults     []forwarder.Result
}

// send sends a call every interval, each with the deadly part if its number is a multiple
// of deadlyEvery, for the duration.
func (load *deadlyLoad) send(route *matcher.Route, interval, duration time.Duration, deadlyEvery int) {
	for number := range int(duration / interval) {
		load.calls.Go(func() {
			if number%deadlyEvery == 0 {
				result, _, _ := load.fleet.forwardPrompt(context.Background(), route, soundParts+","+deadlyPart)

				load.mutex.Lock()
				defer load.mutex.Unlock()

				load.deadlyResults = append(load.deadlyResults, result)

				return
			}

			result, _, _ := load.fleet.forwardPrompt(context.Background(), route, soundParts)

			load.mutex.Lock()
			defer load.mutex.Unlock()

			load.soundCalls++
			if result.Events > 0 || result.Outcome == forwarder.Answered {
				load.begun++
			}
		})
		time.Sleep(interval)
	}

	load.calls.Wait()
}

// deadlyRuns returns the times of all runs with the deadly part, in order.
func (fleet *fleet) deadlyRuns() []time.Time {
	times := []time.Time{}

	for _, server := range fleet.servers {
		for _, run := range server.DeadlyRuns() {
			times = append(times, run.At)
		}
	}

	slices.SortFunc(times, time.Time.Compare)

	return times
}

// Calls that share a part of their prompts end one server after the other, whatever else
// they hold. After five of them such calls no longer reach servers, and the sound calls
// beside them do.
func TestCallsWithADeadlyPartEndOneServerAfterTheOther(t *testing.T) {
	for name, scenario := range map[string]struct {
		route       *matcher.Route
		deadlyEvery int
	}{
		"one attempt, few":        {route(matcher.Stream, false, 1), 20},
		"one attempt, many":       {route(matcher.Stream, false, 1), 5},
		"several attempts, few":   {route(matcher.Stream, true, 3), 20},
		"several attempts, many":  {route(matcher.Stream, true, 3), 5},
		"whole answers, repeated": {route(matcher.Idempotent, false, 2), 5},
	} {
		t.Run(name, func(t *testing.T) {
			load := &deadlyLoad{}

			var runs []time.Time

			withFleet(t, 12, func(fleet *fleet) {
				load.fleet = fleet
				for _, server := range fleet.servers {
					server.SetDeadlyParts(deadlyPart)
				}

				checks, stopChecks := context.WithCancel(context.Background())
				defer stopChecks()

				go fleet.checkSuspects(checks)

				load.send(scenario.route, 25*time.Millisecond, 20*time.Second, scenario.deadlyEvery)

				runs = fleet.deadlyRuns()
			})

			require.LessOrEqual(t, countLate(runs, 5), 3, "%d runs", len(runs))
			require.Greater(t, load.begun, load.soundCalls*9/10)
		})
	}
}

// A stream that breaks off before its first event has sent nothing to the caller, who gets
// an answer instead of a closed connection; so does a stream without a length that ends
// there, which is no complete one.
func TestStreamThatBreaksBeforeItsFirstEventIsAnswered(t *testing.T) {
	for name, faults := range map[string]emulator.EventFaults{
		"in chunks":        {},
		"without a length": {Unframed: true},
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, 2, func(fleet *fleet) {
				fleet.setFaults(faults)

				for _, server := range fleet.servers {
					server.SetDeadlyParts(deadlyPart)
				}

				result, answer, _ := fleet.forwardPrompt(context.Background(), route(matcher.Stream, false, 1), deadlyPart)
				require.Equal(t, forwarder.Failed, result.Outcome, result.Reason)
				require.Zero(t, answer.heads)

				result, answer, _ = fleet.forwardPrompt(context.Background(), route(matcher.Stream, false, 1), soundParts)
				require.Equal(t, forwarder.Answered, result.Outcome, result.Reason)
				require.Equal(t, eventStream(20), answer.body.String())
			})
		})
	}
}

// An answer without a length that ends because its server ended is not complete.
func TestWholeAnswerIsNotCompleteWhenItsServerEnds(t *testing.T) {
	withFleet(t, 3, func(fleet *fleet) {
		for _, server := range fleet.servers {
			server.EventCount = 0
			server.SetFaults(emulator.EventFaults{Unframed: true, EndProcess: true})
		}

		result, answer, _ := fleet.forward(context.Background(), route(matcher.Idempotent, false, 2))
		require.Equal(t, forwarder.Failed, result.Outcome, result.Reason)
		require.Equal(t, 2, result.Attempts)
		require.Zero(t, answer.heads)

		fleet.setFaults(emulator.EventFaults{Unframed: true})
		time.Sleep(serverDowntime)

		result, answer, id := fleet.forward(context.Background(), route(matcher.Idempotent, false, 3))
		require.Equal(t, forwarder.Answered, result.Outcome, result.Reason)
		require.Equal(t, "answer to "+id, answer.body.String())
	})
}
