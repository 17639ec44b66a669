package retrier_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"limpetrail/retrier"
	_ "limpetrail/seeder" // Fixes the seed of rapid.
)

func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		share := rapid.SampledFrom([]float64{0.05, 0.1, 0.5}).Draw(rt, "share")
		burst := float64(rapid.IntRange(1, 20).Draw(rt, "burst"))
		budget := retrier.NewBudget(share, burst)
		successes, retries := 0, 0

		for _, success := range rapid.SliceOfN(rapid.Bool(), 1, 500).Draw(rt, "successes") {
			if success {
				budget.RecordSuccess()

				successes++
			} else if budget.AllowRetry() {
				retries++
			}

			require.LessOrEqual(t, float64(retries), burst+share*float64(successes)+1e-6)
		}
	})
}

func TestPauseStaysWithinItsBound(t *testing.T) {
	backoff := retrier.Backoff{Base: 20 * time.Millisecond, MaxPause: 100 * time.Millisecond}
	bounds := []time.Duration{20 * time.Millisecond, 40 * time.Millisecond, 80 * time.Millisecond, 100 * time.Millisecond, 100 * time.Millisecond}

	for attempt, bound := range bounds {
		longest := time.Duration(0)

		for range 1000 {
			pause := backoff.Pause(attempt)
			require.GreaterOrEqual(t, pause, time.Duration(0))
			require.Less(t, pause, bound)

			longest = max(longest, pause)
		}

		require.Greater(t, longest, bound/2)
	}

	require.Zero(t, retrier.Backoff{}.Pause(3))
}

func TestCacheIsBounded(t *testing.T) {
	created := 0
	cache := retrier.NewCache[int](3, func() *int {
		created++

		return &created
	})

	for key := range 100 {
		cache.GetOrCreate(key)
		cache.GetOrCreate(key)
	}

	require.Equal(t, 100, created)
}
