package admitter_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/admitter"
)

// stream holds places that yield a token each step, as an engine of that width
// would: streams beyond it get none until others end.
func (bench *bench) stream(width, wanted, steps int, step func(running int) time.Duration) {
	running := []admitter.Place{}

	for count := range steps {
		for len(running) < wanted && len(running) < bench.admitter.Report().Limit {
			running = append(running, bench.enter(online("s", "a")))
		}

		time.Sleep(step(min(width, len(running))))

		for _, place := range running[:min(width, len(running))] {
			place.Token()
		}

		if len(running) > 1 && count%4 == 0 {
			running[0].Leave()
			running = running[1:]
		}
	}

	for _, place := range running {
		place.Leave()
	}
}

func TestLimitIsLearned(t *testing.T) {
	flat := func(int) time.Duration { return interval }
	steep := func(running int) time.Duration { return time.Duration(running) * 2 * time.Millisecond }

	tests := []struct {
		name      string
		width     int
		step      func(int) time.Duration
		low, high int
	}{
		{"grows while the engine bears it", 1000, flat, 32, 1000},
		{"stops where the engine lets streams wait", 24, flat, 16, 40},
		{"stops at the wanted time between tokens", 1000, steep, 9, 24},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inBubble(t, noReserve(), 1024, func(bench *bench) {
				bench.stream(test.width, 200, 4000, test.step)

				limit := bench.admitter.Report().Limit
				require.GreaterOrEqual(t, limit, test.low)
				require.LessOrEqual(t, limit, test.high)
			})
		})
	}
}

func TestBatchShareIsCutOnHarmAndGrowsBack(t *testing.T) {
	inBubble(t, noReserve(), places, func(bench *bench) {
		held := []admitter.Place{}
		for range places {
			held = append(held, bench.started(batch("b", 0)))
		}

		beat := func(step time.Duration, count int) {
			for range count {
				time.Sleep(step)

				for _, place := range held {
					place.Token()
				}
			}
		}
		beat(interval, 200)
		require.Equal(t, places, bench.admitter.Report().RunningBatch)
		beat(100*time.Millisecond, 200)

		cut := bench.admitter.Report()
		require.Less(t, cut.RunningBatch, places)

		for _, place := range held {
			if isPreempted(place) {
				place.Leave()
			}
		}

		for range places {
			bench.queue(bench.Context(), batch("b", 0), time.Hour)
		}

		beat(interval, 400)
		require.Greater(t, bench.admitter.Report().RunningBatch, cut.RunningBatch)
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
		{"nearly all still lets an idle engine take one", 0.999, func(int) int { return 1 }},
		{"all", 1, func(int) int { return 0 }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inBubble(t, noReserve(), 1024, func(bench *bench) {
				bench.stream(24, 200, 4000, func(int) time.Duration { return interval })

				policy := noReserve()
				policy.Reserve = test.reserve
				bench.admitter.SetPolicy(policy)

				limit := bench.admitter.Report().Limit
				for range 2 * limit {
					bench.queue(bench.Context(), batch("b", 0), time.Hour)
				}

				time.Sleep(time.Minute)
				require.Equal(t, limit, bench.admitter.Report().Limit)
				require.Equal(t, test.want(limit), bench.admitter.Report().RunningBatch)
			})
		})
	}
}
