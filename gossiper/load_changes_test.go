package gossiper

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/placer"
)

// Reports that carry only changed loads must not leave a receiver with a wrong load for good,
// whatever datagrams are lost, and must be much shorter than full ones.
func TestLostReportsLeaveNoWrongLoads(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	changes, received, now := newLoadChanges(), receivedReport{}, time.Unix(0, 0)
	loads, entries, full, wrong := map[string]placer.Load{}, 0, 0, 0

	for number := int64(1); number <= 4000; number++ {
		now = now.Add(50 * time.Millisecond)

		for range random.IntN(4) {
			id := fmt.Sprint("server-", random.IntN(30))
			loads[id] = placer.Load{Online: random.IntN(4)}

			if loads[id].Online == 0 {
				delete(loads, id)
			}
		}

		report := Report{Incarnation: 1, Number: number}
		changes.fill(&report, maps.Clone(loads), now)

		entries += len(report.Loads)
		full += len(loads)

		if random.Float64() < 0.3 {
			continue
		}

		merged, follows := received.mergedLoads(report)
		if !follows {
			wrong++

			continue
		}

		received.incarnation, received.loads, received.loadsNumber = 1, merged, number
		require.Equal(t, loads, merged)
	}

	// The loads of a peer are current after 95 of 100 reports even if 30 of 100 are lost.
	require.Less(t, wrong, 200)
	require.Less(t, 2*entries, full)
}
