package dispatcher_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/classifier"
	"limpetrail/recorder"
)

func TestAnswerIsWholeAndRunsOnceWhenConnectionsGoSilent(t *testing.T) {
	tests := []struct {
		name     string
		up, down bool
		// at is the event before which the open connections go silent; before
		// the request when negative.
		at         int
		idempotent bool
	}{
		{"idle, both ways", true, true, -1, true},
		{"idle, towards the sidecar", true, false, -1, true},
		{"idle, towards the entry", false, true, -1, true},
		{"idle, both ways, not idempotent", true, true, -1, false},
		{"middle, both ways", true, true, 20, true},
		{"middle, towards the sidecar", true, false, 20, true},
		{"middle, towards the entry", false, true, 20, true},
		{"middle, both ways, not idempotent", true, true, 20, false},
		{"last event, both ways", true, true, tokens - 1, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newFleet(t, nil)
				fleet.add("replica-1", modelService)

				first := &sink{}
				require.Equal(t, classifier.Answered, fleet.dispatcher.Do(t.Context(), fleet.call(modelService, true), first).Fate)
				synctest.Wait()

				silence := func() { fleet.network.Silence(test.up, test.down) }
				second := &sink{at: map[int]func(){test.at: silence}}

				if test.at < 0 {
					silence()
				}

				call := fleet.call(modelService, test.idempotent)
				begun := time.Now()
				outcome := fleet.dispatcher.Do(t.Context(), call, second)

				require.Equal(t, classifier.Answered, outcome.Fate, outcome.Reason)
				require.Equal(t, wholeAnswer(), second.text.String())
				require.True(t, second.ended)
				require.Equal(t, 1, fleet.starts(call))
				require.Less(t, time.Since(begun), 10*time.Second)
			})
		})
	}
}

func TestSlowCallerBreaksNoConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, nil)
		fleet.add("replica-1", modelService)

		call := fleet.call(modelService, true)
		slow := &sink{at: map[int]func(){5: func() { time.Sleep(8 * time.Second) }}}

		require.Equal(t, classifier.Answered, fleet.dispatcher.Do(t.Context(), call, slow).Fate)
		require.Equal(t, wholeAnswer(), slow.text.String())
		require.Zero(t, fleet.events(recorder.KindResumed))
	})
}

func TestConnectionIsUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, nil)
		fleet.add("replica-1", modelService)

		for range 5 {
			require.Equal(t, classifier.Answered, fleet.dispatcher.Do(t.Context(), fleet.call(modelService, true), &sink{}).Fate)
			synctest.Wait()
		}

		require.Equal(t, 1, fleet.network.Dials("replica-1"))
	})
}
