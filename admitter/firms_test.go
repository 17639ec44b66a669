package admitter_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPlacesAreKeptForALendingFirm lets a firm ask for more than its share
// beside one that asks for less.
func TestPlacesAreKeptForALendingFirm(t *testing.T) {
	inBubble(t, noReserve(), places, func(bench *bench) {
		for range 8 {
			bench.queue(bench.Context(), online("light", "light"), time.Second)

			for range 12 {
				bench.queue(bench.Context(), online("heavy", "heavy"), time.Second)
			}

			time.Sleep(1500 * time.Millisecond)
		}

		for range places {
			bench.queue(bench.Context(), online("heavy", "heavy"), time.Second)
		}

		require.Equal(t, places/2, bench.admitter.Report().RunningOnline, "the light firm's two places stay free")
		bench.started(online("light", "light"))
		bench.started(online("light", "light"))
	})
}
