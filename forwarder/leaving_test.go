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

// A server that says that it leaves ends what it runs and gets no further call.
func TestLeavingServersGetNoFurtherCall(t *testing.T) {
	newFleet(t, 2, func(fleet *fleet) {
		leaving := fleet.servers[0]
		leaving.Set(emulator.EventFaults{Leaving: true})

		for range 12 {
			result, got, _ := fleet.when(context.Background(), route(matcher.Stream, false, 1))
			require.Equal(t, forwarder.Answered, result.Kind, result.Reason)
			require.Equal(t, whole(20), got.body.String())
		}

		require.LessOrEqual(t, leaving.Total(), 1)
	})
}

// A server may say it in a refusal, too. The call and those after it go elsewhere.
func TestServerThatLeavesMaySaySoInARefusal(t *testing.T) {
	newFleet(t, 2, func(fleet *fleet) {
		leaving := fleet.servers[0]
		leaving.Places, leaving.Queue = 0, 0
		leaving.Set(emulator.EventFaults{Leaving: true})

		for range 12 {
			result, _, _ := fleet.when(context.Background(), route(matcher.Stream, false, 1))
			require.Equal(t, forwarder.Answered, result.Kind, result.Reason)
			// A refusal alone keeps calls away for a moment only.
			time.Sleep(time.Second)
		}

		for _, server := range fleet.placer.Status() {
			require.Equal(t, server.ID == leaving.ID, server.Leaving)
		}
	})
}

// A stream that breaks goes on at a server that stays, not at one that leaves.
func TestStreamIsNotResumedAtALeavingServer(t *testing.T) {
	newFleet(t, 3, func(fleet *fleet) {
		fleet.all(emulator.EventFaults{BreakAfter: 12, Leaving: true})
		fleet.servers[2].Set(emulator.EventFaults{})

		// One call at each of the leaving servers, so that both have said so.
		calls := sync.WaitGroup{}
		for range 3 {
			calls.Go(func() { fleet.when(context.Background(), route(matcher.Stream, true, 3)) })
		}

		calls.Wait()

		runs := []int{fleet.servers[0].Total(), fleet.servers[1].Total()}

		result, got, _ := fleet.when(context.Background(), route(matcher.Stream, true, 3))
		require.Equal(t, forwarder.Answered, result.Kind, result.Reason)
		require.Equal(t, whole(20), got.body.String())
		require.Equal(t, []int{fleet.servers[0].Total(), fleet.servers[1].Total()}, runs)
	})
}
