package placer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/kernel"
	"limpetrail/placer"
)

// Work that waits for the only server of its version keeps no other work waiting that another
// server can take.
func TestContinuationKeepsOtherWorkWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		places := placer.NewPlacer(kernel.NewDiscardCommon("entry-1"))
		places.UpdateServers([]placer.Server{
			{ID: "s1", Software: "v1", Service: "model", Places: 1}, {ID: "s2", Software: "v2", Service: "model", Places: 1},
		})

		work := placer.Work{Service: "model", MaxWait: 10 * time.Second}
		grants := map[string]*placer.Grant{}

		for range 2 {
			decision := places.Place(context.Background(), work)
			require.Equal(t, placer.Placed, decision.Verdict)
			grants[decision.Grant.Server.Software] = decision.Grant
		}

		continuation := work
		continuation.Priority, continuation.Continues, continuation.Software = -1, true, "v1"

		decisions := make(chan placer.Decision, 2)

		go func() { decisions <- places.Place(context.Background(), continuation) }()

		synctest.Wait()

		go func() { decisions <- places.Place(context.Background(), work) }()

		synctest.Wait()
		grants["v2"].Release()

		decision := <-decisions
		require.Equal(t, placer.Placed, decision.Verdict)
		require.Equal(t, "v2", decision.Grant.Server.Software)
		require.Less(t, decision.Waited, time.Second)

		grants["v1"].Release()

		decision = <-decisions
		require.Equal(t, "v1", decision.Grant.Server.Software)
	})
}
