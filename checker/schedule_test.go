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
	_ "limpetrail/seeder" // Draws are the same in each run.
)

// act is one drawn event of a schedule: a request is sent, or a fault happens.
type act struct {
	At   time.Duration
	Kind string
	// Entry and Replica are where it happens; Replica is also the request's
	// kind.
	Entry   string
	Replica string
	Length  time.Duration
	// Number tells requests and keys apart, and the direction of a silence.
	Number int
	// Hasty is set where the caller of a request waits no longer than Length.
	Hasty bool
}

var (
	entryNames = []string{"entry-1", "entry-2", "entry-3"}
	replicas   = map[string]string{
		"model-1": modelService, "model-2": modelService,
		"draft-1": drafterService, "draft-2": drafterService,
		"plain-1": plainService, "plain-2": plainService,
	}
	replicaNames = []string{"model-1", "model-2", "draft-1", "draft-2", "plain-1", "plain-2"}

	faults = []string{
		"kill", "down", "leave", "cut", "silence", "late", "double", "service slow", "engine frozen", "engine outage", "service drop",
		"store outage", "store frozen", "store slow", "store drop", "entry killed", "entry paused",
	}
)

const (
	sendWhole   = "send"
	sendKeyed   = "send with key"
	lengthLimit = 8 * time.Second
)

func drawActs(t *rapid.T, kinds []string, least, most int, label string) []act {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) act {
		return act{
			At:      time.Duration(rapid.IntRange(0, 6000).Draw(t, "at")) * time.Millisecond,
			Kind:    rapid.SampledFrom(kinds).Draw(t, "kind"),
			Entry:   rapid.SampledFrom(entryNames).Draw(t, "entry"),
			Replica: rapid.SampledFrom(replicaNames).Draw(t, "replica"),
			Length:  time.Duration(rapid.IntRange(1, int(lengthLimit/time.Millisecond)).Draw(t, "length")) * time.Millisecond,
			Number:  rapid.IntRange(0, 2).Draw(t, "number"),
		}
	}), least, most).Draw(t, label)
}

// request is the one that the act sends.
func (act act) request() request {
	service := replicas[act.Replica]
	wanted := request{service: service, idempotent: service == modelService, number: act.Number, patience: usualPatience}

	if act.Hasty {
		wanted.patience = act.Length
	}

	if act.Kind == sendKeyed && !wanted.idempotent {
		wanted.key = fmt.Sprintf("%s-%d", service, act.Number)
	}

	return wanted
}

// play lets the acts happen and returns the history, with a last copy of each
// request sent through each entry after all faults have ended, and the ends of
// idempotent requests sent then.
func play(t *testing.T, acts []act) (history *checker.History, last []checker.Kind) {
	t.Helper()

	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, entryNames, replicas)
		history = fleet.history
		happening := sync.WaitGroup{}

		for _, act := range acts {
			happening.Go(func() {
				time.Sleep(act.At)
				fleet.act(act)
			})
		}

		happening.Wait()
		fleet.heal()
		// Ejected replicas return within this time.
		time.Sleep(2 * time.Minute)

		for _, name := range entryNames {
			for _, act := range acts {
				if act.Hasty = false; act.Kind == sendKeyed {
					fleet.entry(name).send(act.request())
				}
			}

			last = append(last, fleet.entry(name).send(request{service: modelService, idempotent: true, patience: usualPatience}).Kind)
		}

		// What is still on its way arrives before the end.
		time.Sleep(settled)
	})

	return history, last
}

// act lets one act happen and returns when it is over.
func (fleet *fleet) act(act act) {
	sidecar := fleet.sidecars[act.Replica]

	switch act.Kind {
	case sendWhole, sendKeyed:
		fleet.entry(act.Entry).send(act.request())
	case "kill":
		sidecar.kill()
		sidecar.start()
	case "down":
		sidecar.kill()
		time.Sleep(act.Length)
		sidecar.start()
	case "leave":
		sidecar.leave()
	case "cut":
		sidecar.network.CloseConnections(sidecar.name)
	case "silence":
		sidecar.network.DropTraffic(act.Number != 0, act.Number != 1)
	case "late":
		sidecar.lag.Store(int64(act.Length))
		time.Sleep(act.Length)
		sidecar.lag.Store(0)
	case "double":
		sidecar.double()
	case "entry killed":
		fleet.replaceEntry(act.Entry)
	case "entry paused":
		fleet.entry(act.Entry).pauseOnce(act.Length)
	default:
		board, switches := fleet.switches(act)
		board.Set(switches)
		time.Sleep(act.Length)
		board.Set(emulator.FaultSwitches{})
	}
}

// switches returns the stand-in that the act concerns and its switches.
func (fleet *fleet) switches(act act) (*emulator.Faults, emulator.FaultSwitches) {
	sidecar := fleet.sidecars[act.Replica]

	switch act.Kind {
	case "service slow":
		return sidecar.service.Faults, emulator.FaultSwitches{Delay: act.Length}
	case "service drop":
		return sidecar.service.Faults, emulator.FaultSwitches{DropAnswers: 1 + act.Number}
	case "engine frozen":
		return sidecar.engine.Faults, emulator.FaultSwitches{Freeze: true}
	case "engine outage":
		return sidecar.engine.Faults, emulator.FaultSwitches{Outage: true}
	case "store frozen":
		return fleet.store.Faults, emulator.FaultSwitches{Freeze: true}
	case "store slow":
		return fleet.store.Faults, emulator.FaultSwitches{Delay: act.Length / 10}
	case "store drop":
		return fleet.store.Faults, emulator.FaultSwitches{DropAnswers: 1 + 2*act.Number}
	default:
		return fleet.store.Faults, emulator.FaultSwitches{Outage: true}
	}
}

func TestPromisesHoldUnderDrawnFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		acts := drawActs(rt, []string{sendWhole, sendKeyed, sendKeyed}, 1, 16, "requests")
		for index := range acts {
			acts[index].Hasty = rapid.Bool().Draw(rt, "hasty")
		}

		acts = append(acts, drawActs(rt, faults, 0, 8, "faults")...)
		history, last := play(t, acts)

		for _, end := range last {
			require.Equal(rt, checker.KindAnswered, end, "the fleet does not serve after all faults have ended")
		}

		requireKept(rt, history)
	})
}

// requireKept fails with the promises that were broken. The reasons go through
// the log, since rapid shows the log of a failing draw only.
func requireKept(t require.TestingT, history *checker.History) {
	broken := checker.Check(history, checker.DefaultBounds())
	require.Empty(t, broken, "broken promises: %s", strings.Join(broken, "; "))
}

// Faults that leave every process and its backend server alive cost no request
// its answer, and neither does a sidecar that leaves while another stays.
func TestEveryRequestIsAnsweredWhileOnlyConnectionsFail(t *testing.T) {
	harmless := []string{"cut", "silence", "double", "store drop", "leave"}

	rapid.Check(t, func(rt *rapid.T) {
		acts := drawActs(rt, []string{sendWhole, sendKeyed}, 1, 16, "requests")

		for _, act := range drawActs(rt, harmless, 1, 6, "faults") {
			switch act.Kind {
			case "leave":
				act.Replica = strings.Replace(act.Replica, "-2", "-1", 1)
			case "store drop":
				// Several lost answers in a row are an outage.
				act.Number = 0
			}

			acts = append(acts, act)
		}

		history, _ := play(t, acts)
		requireKept(rt, history)

		for _, event := range history.Events() {
			require.NotEqual(rt, checker.KindRefused, event.Kind, "%+v", event)
		}
	})
}
