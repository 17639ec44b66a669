package admitter_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/admitter"
)

// runStreams holds places for up to the given number of streams, as far as the
// limit allows, at an engine that runs up to capacity of them at once. Each of
// these gets a token per step; further streams get none until others end.
func (fixture *fixture) runStreams(capacity, streams, steps int, step func(running int) time.Duration) {
	running := []admitter.Place{}

	for count := range steps {
		for len(running) < streams && len(running) < fixture.admitter.Report().Limit {
			running = append(running, fixture.acquire(online("s", "a")))
		}

		time.Sleep(step(min(capacity, len(running))))

		for _, place := range running[:min(capacity, len(running))] {
			place.RecordToken()
		}

		if len(running) > 1 && count%4 == 0 {
			running[0].Release()
			running = running[1:]
		}
	}

	for _, place := range running {
		place.Release()
	}
}

func TestLimitIsLearned(t *testing.T) {
	flat := func(int) time.Duration { return tokenInterval }
	steep := func(running int) time.Duration { return time.Duration(running) * 2 * time.Millisecond }

	tests := []struct {
		name      string
		capacity  int
		step      func(int) time.Duration
		low, high int
	}{
		{"grows while the engine has capacity", 1000, flat, 32, 1000},
		{"stops where the engine queues streams", 24, flat, 16, 40},
		{"stops at the target time between tokens", 1000, steep, 9, 24},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withFixture(t, noReserve(), 1024, func(fixture *fixture) {
				fixture.runStreams(test.capacity, 200, 4000, test.step)

				limit := fixture.admitter.Report().Limit
				require.GreaterOrEqual(t, limit, test.low)
				require.LessOrEqual(t, limit, test.high)
			})
		})
	}
}

func TestBatchLimitIsCutOnMissedTargetsAndGrowsBack(t *testing.T) {
	withFixture(t, noReserve(), places, func(fixture *fixture) {
		held := []admitter.Place{}
		for range places {
			held = append(held, fixture.acquireStarted(batch("b", 0)))
		}

		produceTokens := func(step time.Duration, count int) {
			for range count {
				time.Sleep(step)

				for _, place := range held {
					place.RecordToken()
				}
			}
		}
		produceTokens(tokenInterval, 200)
		require.Equal(t, places, fixture.admitter.Report().RunningBatch)
		produceTokens(100*time.Millisecond, 200)

		cut := fixture.admitter.Report()
		require.Less(t, cut.RunningBatch, places)

		for _, place := range held {
			if isPreempted(place) {
				place.Release()
			}
		}

		for range places {
			fixture.queue(fixture.Context(), batch("b", 0), time.Hour)
		}

		produceTokens(tokenInterval, 400)
		require.Greater(t, fixture.admitter.Report().RunningBatch, cut.RunningBatch)
	})
}

func TestReserveOfALearnedLimit(t *testing.T) {
	tests := []struct {
		name    string
		reserve float64
		want    func(limit int) int
	}{
		{"none", 0, func(limit int) int { return limit }},
		{"half", 0.5, func(limit int) int { return limit / 2 }},
		{"nearly all, but an idle engine still takes one", 0.999, func(int) int { return 1 }},
		{"all", 1, func(int) int { return 0 }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withFixture(t, noReserve(), 1024, func(fixture *fixture) {
				fixture.runStreams(24, 200, 4000, func(int) time.Duration { return tokenInterval })

				policy := noReserve()
				policy.Reserve = test.reserve
				fixture.admitter.SetPolicy(policy)

				limit := fixture.admitter.Report().Limit
				for range 2 * limit {
					fixture.queue(fixture.Context(), batch("b", 0), time.Hour)
				}

				time.Sleep(time.Minute)
				require.Equal(t, limit, fixture.admitter.Report().Limit)
				require.Equal(t, test.want(limit), fixture.admitter.Report().RunningBatch)
			})
		})
	}
}
