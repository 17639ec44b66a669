package placer_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/placer"
)

// The only server that can get work is silent for a while. All calls were refused.
func TestSilenceLeavesAServiceWithoutServers(t *testing.T) {
	for name, leaving := range map[string]bool{"a single server": false, "the other one leaves": true} {
		t.Run(name, func(t *testing.T) {
			runFixture(t, func(fixture *fixture) {
				fixture.setServers("x")

				if leaving {
					other := fixture.list[0]
					other.ID, other.Leaving = "y", true
					fixture.placer.UpdateServers(append(fixture.list, other))
				}

				grant, _ := fixture.place()
				for range 3 {
					grant.Observe(placer.Silent, 0)
				}

				_, server := fixture.place()
				require.Equal(t, "x", server)
			})
		})
	}
}

// A server that was silent answers again. Queued work waited for the next change of the load.
func TestQueuedWorkWaitsAlthoughASilentServerAnswers(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		fixture.setServers("x", "y")

		for range 2 {
			fixture.place("x")
		}

		silent, _ := fixture.place("y")
		silent.Observe(placer.Silent, 0)
		silent.Observe(placer.Silent, 0)
		time.AfterFunc(time.Second, func() { silent.Observe(placer.Answered, time.Second) })

		decision := fixture.placer.Place(context.Background(), placer.Work{Service: modelService, MaxWait: 3 * time.Second})
		require.Equal(t, placer.Placed.String(), decision.Verdict.String())
		require.Equal(t, time.Second, decision.Waited)
	})
}
