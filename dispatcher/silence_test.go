package dispatcher_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/classifier"
	"limpetrail/recorder"
)

func TestAnswerIsCompleteAndRunsOnceWhenConnectionsGoSilent(t *testing.T) {
	tests := []struct {
		name               string
		toSidecar, toEntry bool
		// silentAt is the event before which the open connections go silent;
		// negative means before the request.
		silentAt   int
		idempotent bool
	}{
		{"idle, both ways", true, true, -1, true},
		{"idle, towards the sidecar", true, false, -1, true},
		{"idle, towards the entry", false, true, -1, true},
		{"idle, both ways, not idempotent", true, true, -1, false},
		{"during the answer, both ways", true, true, 20, true},
		{"during the answer, towards the sidecar", true, false, 20, true},
		{"during the answer, towards the entry", false, true, 20, true},
		{"during the answer, both ways, not idempotent", true, true, 20, false},
		{"last event, both ways", true, true, tokenCount - 1, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newFleet(t, nil)
				fleet.addReplica("replica-1", modelService)

				first := &sink{}
				require.Equal(t, classifier.Answered, fleet.dispatcher.Do(t.Context(), fleet.newCall(modelService, true), first).Fate)
				synctest.Wait()

				silence := func() { fleet.network.DropTraffic(test.toSidecar, test.toEntry) }
				second := &sink{beforeEvent: map[int]func(){test.silentAt: silence}}

				if test.silentAt < 0 {
					silence()
				}

				call := fleet.newCall(modelService, test.idempotent)
				started := time.Now()
				outcome := fleet.dispatcher.Do(t.Context(), call, second)

				require.Equal(t, classifier.Answered, outcome.Fate, outcome.Reason)
				require.Equal(t, completeAnswer(), second.text.String())
				require.True(t, second.ended)
				require.Equal(t, 1, fleet.countStarts(call))
				require.Less(t, time.Since(started), 10*time.Second)
			})
		})
	}
}

// A sound sidecar is silent for less than the setting Silence and goes on. A request that had no frame
// yet counted as lost.
func TestSilenceOfASidecarEndsItsAnswer(t *testing.T) {
	for _, silence := range []time.Duration{time.Second, 1500 * time.Millisecond, 2900 * time.Millisecond} {
		for name, silentAt := range map[string]int{"before the request": -1, "during the answer": 20, "before the last event": tokenCount - 1} {
			t.Run(fmt.Sprint(name, ", ", silence), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					fleet := newFleet(t, nil)
					fleet.addReplica("replica-1", modelService)
					fleet.addReplica("replica-2", modelService)

					require.Equal(t, classifier.Answered, fleet.dispatcher.Do(t.Context(), fleet.newCall(modelService, true), &sink{}).Fate)
					synctest.Wait()

					fall := func() {
						for _, listener := range fleet.listeners {
							listener.Silence(silence)
						}
					}

					if silentAt < 0 {
						fall()
					}

					call, received := fleet.newCall(modelService, false), &sink{beforeEvent: map[int]func(){silentAt: fall}}
					outcome := fleet.dispatcher.Do(t.Context(), call, received)

					require.Equal(t, classifier.Answered, outcome.Fate, outcome.Reason)
					require.Equal(t, completeAnswer(), received.text.String())
					require.Equal(t, 1, fleet.countStarts(call))
				})
			})
		}
	}
}

func TestSlowCallerDoesNotBreakConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, nil)
		fleet.addReplica("replica-1", modelService)

		call := fleet.newCall(modelService, true)
		slow := &sink{beforeEvent: map[int]func(){5: func() { time.Sleep(8 * time.Second) }}}

		require.Equal(t, classifier.Answered, fleet.dispatcher.Do(t.Context(), call, slow).Fate)
		require.Equal(t, completeAnswer(), slow.text.String())
		require.Zero(t, fleet.countEvents(recorder.KindResumed))
	})
}

func TestConnectionIsReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, nil)
		fleet.addReplica("replica-1", modelService)

		for range 5 {
			require.Equal(t, classifier.Answered, fleet.dispatcher.Do(t.Context(), fleet.newCall(modelService, true), &sink{}).Fate)
			synctest.Wait()
		}

		require.Equal(t, 1, fleet.network.DialCount("replica-1"))
	})
}
