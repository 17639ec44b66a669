package allocator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/allocator"
)

// Two entries must not use one free place at once, and a place that the first ones do not use must not stay
// unused.
func TestTurnsFollowTheOrderOfEntries(t *testing.T) {
	const interval = 50 * time.Millisecond

	for _, free := range []int{1, 2, 5} {
		previous := time.Duration(0)

		for rank := range 380 {
			delay := allocator.Turn{Rank: rank, Interval: interval}.Delay(free)
			require.Equal(t, rank >= free, delay > 0, "rank %d of %d free places", rank, free)
			require.GreaterOrEqual(t, delay, previous)
			require.LessOrEqual(t, delay, 28*interval)

			previous = delay
		}
	}

	require.Zero(t, allocator.Turn{}.Delay(1))
}
