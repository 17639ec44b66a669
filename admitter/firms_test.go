package admitter_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPlacesAreKeptFreeForAFirmBelowItsShare has one firm ask for more than its
// share beside one that asks for less.
func TestPlacesAreKeptFreeForAFirmBelowItsShare(t *testing.T) {
	withFixture(t, noReserve(), places, func(fixture *fixture) {
		for range 8 {
			fixture.queue(fixture.Context(), online("light", "light"), time.Second)

			for range 12 {
				fixture.queue(fixture.Context(), online("heavy", "heavy"), time.Second)
			}

			time.Sleep(1500 * time.Millisecond)
		}

		for range places {
			fixture.queue(fixture.Context(), online("heavy", "heavy"), time.Second)
		}

		require.Equal(t, places/2, fixture.admitter.Report().RunningOnline, "the light firm's two places stay free")
		fixture.acquireStarted(online("light", "light"))
		fixture.acquireStarted(online("light", "light"))
	})
}
