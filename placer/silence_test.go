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

// Some servers are silent when their health is checked. The check of a sound one waited for them.
func TestHealthCheckWaitsForSilentServers(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		fixture.setServers("1", "2", "3", "4", "5", "6", "7", "8", "sound")

		for _, server := range fixture.list {
			grant, _ := fixture.place(fixture.others(server.ID)...)
			grant.Observe(placer.Unreachable, 0)
		}

		began := time.Now()

		fixture.placer.CheckSuspects(t.Context(), func(_ context.Context, server placer.Server) bool {
			if server.ID != "sound" {
				time.Sleep(300 * time.Millisecond)
			}

			return server.ID == "sound"
		})

		_, server := fixture.place()
		require.Equal(t, "sound", server)
		require.LessOrEqual(t, time.Since(began), 300*time.Millisecond)
	})
}

func (fixture *fixture) others(id string) []string {
	others := []string{}

	for _, server := range fixture.list {
		if server.ID != id {
			others = append(others, server.ID)
		}
	}

	return others
}
