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
	_ "limpetrail/seeder" // Draws are the same in each run.
)

const (
	entries  = 3
	replicas = 2
)

// step is one drawn event of a schedule.
type step struct {
	At time.Duration
	// Kind is what happens: a copy of the order is sent, or a fault.
	Kind string
	// Which is the entry or replica it happens at.
	Which int
	// Length is how long a fault or pause lasts.
	Length time.Duration
	Drops  int
}

var kinds = []string{"send", "send", "send", "outage", "freeze", "delay", "drop", "restart", "down", "cut", "silence", "slow", "pause"}

func drawSchedule(t *rapid.T) []step {
	steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			At:     time.Duration(rapid.IntRange(0, 4000).Draw(t, "at")) * time.Millisecond,
			Kind:   rapid.SampledFrom(kinds).Draw(t, "kind"),
			Which:  rapid.IntRange(0, entries*replicas-1).Draw(t, "which"),
			Length: time.Duration(rapid.IntRange(1, 8000).Draw(t, "length")) * time.Millisecond,
			Drops:  rapid.IntRange(1, 8).Draw(t, "drops"),
		}
	}), 1, 12).Draw(t, "steps")

	return append([]step{{Kind: "send"}}, steps...)
}

// history is what callers and backend servers saw.
type history struct {
	copies []told
	// last is a copy sent after all faults are over.
	last told
	// acts is how often a backend server acted.
	acts int
}

func play(t *testing.T, steps []step) history {
	t.Helper()

	seen := history{}

	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, "replica-0", "replica-1")
		claimers := []*Claimer{}
		pauses := make(chan time.Duration, len(steps))

		for entry := range entries {
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

		copies := make(chan told, len(steps))
		sent := 0

		for _, step := range steps {
			if step.Kind == "send" {
				sent++
			}

			time.AfterFunc(step.At, func() {
				switch step.Kind {
				case "send":
					outcome, answer := send(claimers[step.Which%entries])
					copies <- told{outcome, answer}
				case "pause":
					pauses <- step.Length
				default:
					fleet.harm(step)
				}
			})
		}

		for range sent {
			seen.copies = append(seen.copies, <-copies)
		}

		time.Sleep(time.Minute)

		outcome, answer := send(claimers[0])
		seen.last = told{outcome, answer}

		time.Sleep(time.Minute)
		seen.acts = fleet.acts()
	})

	return seen
}

// harm brings a fault about and ends it after its length.
func (fleet *fleet) harm(step step) {
	name := fmt.Sprintf("replica-%d", step.Which%replicas)
	sidecar := fleet.sidecars[name]
	faults := map[string]emulator.Switches{
		"outage": {Outage: true},
		"freeze": {Freeze: true},
		"delay":  {Delay: step.Length / 20},
		"drop":   {DropAnswers: step.Drops},
	}

	switch step.Kind {
	case "restart":
		fleet.restart(name)
	case "cut":
		sidecar.cut()
	case "silence":
		sidecar.silence(step.Drops%3 != 0, step.Drops%3 != 1)
	case "down":
		sidecar.setDown(true)
		time.AfterFunc(step.Length, func() { sidecar.setDown(false) })
	case "slow":
		sidecar.service.Faults.Set(emulator.Switches{Delay: step.Length})
		time.AfterFunc(step.Length, func() { sidecar.service.Faults.Set(emulator.Switches{}) })
	default:
		fleet.store.Faults.Set(faults[step.Kind])
		time.AfterFunc(step.Length, func() { fleet.store.Faults.Set(emulator.Switches{}) })
	}
}

func TestOrderRunsAtMostOnceUnderDrawnFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seen := play(t, drawSchedule(rt))
		require.LessOrEqual(rt, seen.acts, 1)

		notRun := true

		for _, told := range append(seen.copies, seen.last) {
			notRun = notRun && told.outcome.Fate == classifier.NotRun

			if told.outcome.Fate == classifier.Answered {
				requireWhole(rt, told)
			}
		}

		require.False(rt, notRun && seen.acts > 0, "every caller was told NotRun of an order that ran")
		require.False(rt, seen.acts > 0 && seen.last.outcome.Fate == classifier.NotRun, "the last copy was told NotRun of an order that ran")
	})
}

func requireWhole(t require.TestingT, told told) {
	require.Equal(t, firstAnswer, told.answer.body.String())
	require.Equal(t, 1, told.answer.begun)
	require.Equal(t, 1, told.answer.ended)
}
