package claimer

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"limpetrail/classifier"
	"limpetrail/emulator"
	_ "limpetrail/seeder" // Fixes the seed of rapid.
)

const (
	entryCount   = 3
	replicaCount = 2
)

// step is one randomly generated event of a schedule.
type step struct {
	At time.Duration
	// Kind is "send", which sends a copy of the request, or the fault to inject.
	Kind string
	// Target selects the entry that sends, or the replica that fails.
	Target int
	// Length is the duration of a fault or pause.
	Length    time.Duration
	DropCount int
}

var stepKinds = []string{"send", "send", "send", "outage", "freeze", "delay", "drop", "restart", "down", "cut", "silence", "slow", "pause"}

func drawSchedule(t *rapid.T) []step {
	steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			At:        time.Duration(rapid.IntRange(0, 4000).Draw(t, "at")) * time.Millisecond,
			Kind:      rapid.SampledFrom(stepKinds).Draw(t, "kind"),
			Target:    rapid.IntRange(0, entryCount*replicaCount-1).Draw(t, "which"),
			Length:    time.Duration(rapid.IntRange(1, 8000).Draw(t, "length")) * time.Millisecond,
			DropCount: rapid.IntRange(1, 8).Draw(t, "drops"),
		}
	}), 1, 12).Draw(t, "steps")

	return append([]step{{Kind: "send"}}, steps...)
}

// history is what callers and backend servers observed.
type history struct {
	results []callResult
	// finalResult is the result of a copy sent after all faults have ended.
	finalResult callResult
	// executions is how often the backend servers ran the request.
	executions int
}

// runSchedule runs the steps against a new fleet, and sends a final copy of the
// request one minute after all others have ended.
func runSchedule(t *testing.T, steps []step) history {
	t.Helper()

	observed := history{}

	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, "replica-0", "replica-1")
		claimers := []*Claimer{}
		pauses := make(chan time.Duration, len(steps))

		for entry := range entryCount {
			claimer := fleet.entry(t, fmt.Sprintf("entry-%d", entry))
			claimer.beforeSend = func(string) {
				select {
				case pause := <-pauses:
					time.Sleep(pause)
				default:
				}
			}
			claimers = append(claimers, claimer)
		}

		results := make(chan callResult, len(steps))
		sent := 0

		for _, step := range steps {
			if step.Kind == "send" {
				sent++
			}

			time.AfterFunc(step.At, func() {
				switch step.Kind {
				case "send":
					outcome, answer := send(claimers[step.Target%entryCount])
					results <- callResult{outcome, answer}
				case "pause":
					pauses <- step.Length
				default:
					fleet.injectFault(step)
				}
			})
		}

		for range sent {
			observed.results = append(observed.results, <-results)
		}

		time.Sleep(time.Minute)

		outcome, answer := send(claimers[0])
		observed.finalResult = callResult{outcome, answer}

		time.Sleep(time.Minute)
		observed.executions = fleet.executions()
	})

	return observed
}

// injectFault starts a fault and ends it after its duration.
func (fleet *fleet) injectFault(step step) {
	name := fmt.Sprintf("replica-%d", step.Target%replicaCount)
	sidecar := fleet.sidecars[name]
	faults := map[string]emulator.FaultSwitches{
		"outage": {Outage: true},
		"freeze": {Freeze: true},
		"delay":  {Delay: step.Length / 20},
		"drop":   {DropAnswers: step.DropCount},
	}

	switch step.Kind {
	case "restart":
		fleet.restart(name)
	case "cut":
		sidecar.closeConnections()
	case "silence":
		sidecar.silence(step.DropCount%3 != 0, step.DropCount%3 != 1)
	case "down":
		sidecar.setDown(true)
		time.AfterFunc(step.Length, func() { sidecar.setDown(false) })
	case "slow":
		sidecar.service.Faults.Set(emulator.FaultSwitches{Delay: step.Length})
		time.AfterFunc(step.Length, func() { sidecar.service.Faults.Set(emulator.FaultSwitches{}) })
	default:
		fleet.store.Faults.Set(faults[step.Kind])
		time.AfterFunc(step.Length, func() { fleet.store.Faults.Set(emulator.FaultSwitches{}) })
	}
}

func TestRequestRunsAtMostOnceUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		observed := runSchedule(t, drawSchedule(rt))
		require.LessOrEqual(rt, observed.executions, 1)

		allNotRun := true

		for _, result := range append(observed.results, observed.finalResult) {
			allNotRun = allNotRun && result.outcome.Fate == classifier.NotRun

			if result.outcome.Fate == classifier.Answered {
				requireCompleteAnswer(rt, result)
			}
		}

		require.False(rt, allNotRun && observed.executions > 0, "every caller got NotRun for a request that ran")
		require.False(rt, observed.executions > 0 && observed.finalResult.outcome.Fate == classifier.NotRun, "the final copy got NotRun for a request that ran")
	})
}

func requireCompleteAnswer(t require.TestingT, result callResult) {
	require.Equal(t, firstAnswer, result.answer.body.String())
	require.Equal(t, 1, result.answer.beginCalls)
	require.Equal(t, 1, result.answer.endCalls)
}
