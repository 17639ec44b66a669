package placer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// overloadedFleet has 20 entries and 44 servers, whose places the steps of callers exceed by
// half at the peak.
func overloadedFleet() fleetSize {
	return fleetSize{entries: 20, servers: 44, dataCentres: 3, interval: 48 * time.Millisecond, ratePerServer: 7.5}
}

// At a peak above all places each place that becomes free is reported to all entries. They
// must not all send to it: what finds no place there waits in the engine's queue and is late.
func TestEntriesDoNotShareOneFreePlaceAtAPeak(t *testing.T) {
	// maxQueued is the largest share of sends that may find their server full, the stated target.
	const maxQueued = 0.05

	for seed := range uint64(3) {
		result := simulateFleet(t, overloadedFleet(), seed)
		t.Logf("sends %d queued %d rejected %d refused %d answered %d max running %d", result.sends, result.queued, result.rejected, result.refused, result.answered, result.maxRunning)
		require.LessOrEqual(t, float64(result.queued+result.rejected), maxQueued*float64(result.sends))
	}
}

// Runs that are shorter than the time in which entries hear of each other's places must not wait for a turn:
// callers of a small service were refused while its places were free.
func TestShortRunsAreNotRefusedWhilePlacesAreFree(t *testing.T) {
	size := fleetSize{entries: 20, servers: 3, dataCentres: 3, interval: 48 * time.Millisecond, ratePerServer: 40, runTime: 60 * time.Millisecond}

	for seed := range uint64(3) {
		result := simulateFleet(t, size, seed)
		t.Logf("sends %d queued %d rejected %d refused %d answered %d max running %d", result.sends, result.queued, result.rejected, result.refused, result.answered, result.maxRunning)
		require.Less(t, float64(result.refused), 0.01*float64(result.answered))
	}
}
