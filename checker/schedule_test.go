package checker_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"limpetrail/checker"
	"limpetrail/emulator"
	_ "limpetrail/seeder" // Fixes the seed of rapid.
)

// action is one random step of a schedule: it sends a request or causes a fault.
type action struct {
	Start time.Duration
	Kind  string
	// Entry and Replica are where the action happens. For a request, Replica
	// determines the service.
	Entry   string
	Replica string
	// Length is the duration of a fault.
	Length time.Duration
	// Number is part of a request's body and key, the direction in which traffic
	// is dropped, or a number of lost answers.
	Number int
	// ShortTimeout limits the wait of a request's caller to Length.
	ShortTimeout bool
}

var (
	entryNames = []string{"entry-1", "entry-2", "entry-3"}
	replicas   = map[string]string{
		"model-1": modelService, "model-2": modelService,
		"draft-1": drafterService, "draft-2": drafterService,
		"plain-1": plainService, "plain-2": plainService,
	}
	replicaNames = []string{"model-1", "model-2", "draft-1", "draft-2", "plain-1", "plain-2"}

	// faults are the kinds of actions that cause a fault; see fleet.perform.
	faults = []string{
		"kill", "down", "leave", "connections broken", "silence", "delay", "replay", "service slow", "engine frozen", "engine outage", "service drop",
		"store outage", "store frozen", "store slow", "store drop", "entry killed", "entry paused",
	}
)

const (
	sendWithoutKey = "send"
	sendWithKey    = "send with key"
	maxLength      = 8 * time.Second
)

func drawActions(t *rapid.T, kinds []string, minCount, maxCount int, label string) []action {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) action {
		return action{
			Start:   time.Duration(rapid.IntRange(0, 6000).Draw(t, "start")) * time.Millisecond,
			Kind:    rapid.SampledFrom(kinds).Draw(t, "kind"),
			Entry:   rapid.SampledFrom(entryNames).Draw(t, "entry"),
			Replica: rapid.SampledFrom(replicaNames).Draw(t, "replica"),
			Length:  time.Duration(rapid.IntRange(1, int(maxLength/time.Millisecond)).Draw(t, "length")) * time.Millisecond,
			Number:  rapid.IntRange(0, 2).Draw(t, "number"),
		}
	}), minCount, maxCount).Draw(t, label)
}

// newRequest returns the request that the action sends.
func (action action) newRequest() request {
	service := replicas[action.Replica]
	result := request{service: service, idempotent: service == modelService, number: action.Number, timeout: defaultTimeout}

	if action.ShortTimeout {
		result.timeout = action.Length
	}

	if action.Kind == sendWithKey && !result.idempotent {
		result.key = fmt.Sprintf("%s-%d", service, action.Number)
	}

	return result
}

// runSchedule runs the actions on a new fleet. After all faults have ended, it
// sends a copy of each request with a key through each entry, and an idempotent
// request. It returns the history and the ends of these idempotent requests.
func runSchedule(t *testing.T, actions []action) (history *checker.History, lastEnds []checker.Kind) {
	t.Helper()

	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, entryNames, replicas)
		history = fleet.history
		running := sync.WaitGroup{}

		for _, action := range actions {
			running.Go(func() {
				time.Sleep(action.Start)
				fleet.perform(action)
			})
		}

		running.Wait()
		fleet.clearFaults()
		// Ejected replicas return within this time.
		time.Sleep(2 * time.Minute)

		for _, name := range entryNames {
			for _, action := range actions {
				if action.ShortTimeout = false; action.Kind == sendWithKey {
					fleet.entry(name).send(action.newRequest())
				}
			}

			lastEnds = append(lastEnds, fleet.entry(name).send(request{service: modelService, idempotent: true, timeout: defaultTimeout}).Kind)
		}

		// Delayed data arrives before the test ends.
		time.Sleep(settleTime)
	})

	return history, lastEnds
}

// perform performs one action and returns when it is over.
func (fleet *fleet) perform(action action) {
	sidecar := fleet.sidecars[action.Replica]

	switch action.Kind {
	case sendWithoutKey, sendWithKey:
		fleet.entry(action.Entry).send(action.newRequest())
	case "kill":
		sidecar.kill()
		sidecar.start()
	case "down":
		sidecar.kill()
		time.Sleep(action.Length)
		sidecar.start()
	case "leave":
		sidecar.restartGracefully()
	case "connections broken":
		sidecar.network.CloseConnections(sidecar.name)
	case "silence":
		sidecar.network.DropTraffic(action.Number != 0, action.Number != 1)
	case "delay":
		sidecar.delay.Store(int64(action.Length))
		time.Sleep(action.Length)
		sidecar.delay.Store(0)
	case "replay":
		sidecar.replayRequests()
	case "entry killed":
		fleet.restartEntry(action.Entry)
	case "entry paused":
		fleet.entry(action.Entry).pauseAfterNextWrite(action.Length)
	default:
		faults, switches := fleet.emulatorSwitches(action)
		faults.Set(switches)
		time.Sleep(action.Length)
		faults.Set(emulator.FaultSwitches{})
	}
}

// emulatorSwitches returns the faults of the emulator that the action concerns,
// and the switches to set there.
func (fleet *fleet) emulatorSwitches(action action) (*emulator.Faults, emulator.FaultSwitches) {
	sidecar := fleet.sidecars[action.Replica]

	switch action.Kind {
	case "service slow":
		return sidecar.service.Faults, emulator.FaultSwitches{Delay: action.Length}
	case "service drop":
		return sidecar.service.Faults, emulator.FaultSwitches{DropAnswers: 1 + action.Number}
	case "engine frozen":
		return sidecar.engine.Faults, emulator.FaultSwitches{Freeze: true}
	case "engine outage":
		return sidecar.engine.Faults, emulator.FaultSwitches{Outage: true}
	case "store frozen":
		return fleet.store.Faults, emulator.FaultSwitches{Freeze: true}
	case "store slow":
		return fleet.store.Faults, emulator.FaultSwitches{Delay: action.Length / 10}
	case "store drop":
		return fleet.store.Faults, emulator.FaultSwitches{DropAnswers: 1 + 2*action.Number}
	default:
		return fleet.store.Faults, emulator.FaultSwitches{Outage: true}
	}
}

func TestPromisesHoldUnderDrawnFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		actions := drawActions(rt, []string{sendWithoutKey, sendWithKey, sendWithKey}, 1, 16, "requests")
		for index := range actions {
			actions[index].ShortTimeout = rapid.Bool().Draw(rt, "short timeout")
		}

		actions = append(actions, drawActions(rt, faults, 0, 8, "faults")...)
		history, lastEnds := runSchedule(t, actions)

		for _, end := range lastEnds {
			require.Equal(rt, checker.KindAnswered, end, "the fleet does not answer after all faults have ended")
		}

		requireRulesHold(rt, history)
	})
}

// requireRulesHold fails with the violations. They are part of the message, since
// rapid shows only the log of a failing draw.
func requireRulesHold(t require.TestingT, history *checker.History) {
	violations := checker.Check(history, checker.DefaultBounds())
	require.Empty(t, violations, "violated rules: %s", strings.Join(violations, "; "))
}

// Every request is answered if only connections fail while all processes and
// backend servers run, or if a sidecar leaves while another of its service stays.
func TestEveryRequestIsAnsweredWhileOnlyConnectionsFail(t *testing.T) {
	harmless := []string{"connections broken", "silence", "replay", "store drop", "leave"}

	rapid.Check(t, func(rt *rapid.T) {
		actions := drawActions(rt, []string{sendWithoutKey, sendWithKey}, 1, 16, "requests")

		for _, action := range drawActions(rt, harmless, 1, 6, "faults") {
			switch action.Kind {
			case "leave":
				action.Replica = strings.Replace(action.Replica, "-2", "-1", 1)
			case "store drop":
				// Several lost answers in a row are an outage.
				action.Number = 0
			}

			actions = append(actions, action)
		}

		history, _ := runSchedule(t, actions)
		requireRulesHold(rt, history)

		for _, event := range history.Events() {
			require.NotEqual(rt, checker.KindRefused, event.Kind, "%+v", event)
		}
	})
}
