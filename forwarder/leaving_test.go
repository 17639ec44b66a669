package forwarder_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/emulator"
	"limpetrail/forwarder"
	"limpetrail/matcher"
)

// A server that announces that it is leaving finishes its running calls and gets no more.
func TestLeavingServersGetNoFurtherCall(t *testing.T) {
	withFleet(t, 2, func(fleet *fleet) {
		leaving := fleet.servers[0]
		leaving.SetFaults(emulator.EventFaults{Leaving: true})

		for range 12 {
			result, answer, _ := fleet.forward(context.Background(), route(matcher.Stream, false, 1))
			require.Equal(t, forwarder.Answered, result.Outcome, result.Reason)
			require.Equal(t, eventStream(20), answer.body.String())
		}

		require.LessOrEqual(t, leaving.TotalRuns(), 1)
	})
}

// A server may announce that it is leaving in a refusal. That call and later ones go to
// other servers.
func TestLeavingServerIsAvoidedAfterARefusal(t *testing.T) {
	withFleet(t, 2, func(fleet *fleet) {
		leaving := fleet.servers[0]
		leaving.Places, leaving.QueueLimit = 0, 0
		leaving.SetFaults(emulator.EventFaults{Leaving: true})

		for range 12 {
			result, _, _ := fleet.forward(context.Background(), route(matcher.Stream, false, 1))
			require.Equal(t, forwarder.Answered, result.Outcome, result.Reason)
			// A refusal alone keeps calls away only for a moment.
			time.Sleep(time.Second)
		}

		for _, server := range fleet.placer.Status() {
			require.Equal(t, server.ID == leaving.ID, server.Leaving)
		}
	})
}

// A stream that breaks off is continued on a server that stays, not on a leaving one.
func TestStreamIsNotResumedAtALeavingServer(t *testing.T) {
	withFleet(t, 3, func(fleet *fleet) {
		fleet.setFaults(emulator.EventFaults{BreakAfter: 12, Leaving: true})
		fleet.servers[2].SetFaults(emulator.EventFaults{})

		// The calls reach both of the leaving servers, so that both have announced it.
		calls := sync.WaitGroup{}
		for range 3 {
			calls.Go(func() { fleet.forward(context.Background(), route(matcher.Stream, true, 3)) })
		}

		calls.Wait()

		runs := []int{fleet.servers[0].TotalRuns(), fleet.servers[1].TotalRuns()}

		result, answer, _ := fleet.forward(context.Background(), route(matcher.Stream, true, 3))
		require.Equal(t, forwarder.Answered, result.Outcome, result.Reason)
		require.Equal(t, eventStream(20), answer.body.String())
		require.Equal(t, []int{fleet.servers[0].TotalRuns(), fleet.servers[1].TotalRuns()}, runs)
	})
}
