package admitter_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/admitter"
	"limpetrail/classifier"
)

func TestRefusals(t *testing.T) {
	tests := []struct {
		name string
		// wait is how long the caller waited for the refusal.
		wait time.Duration
		run  func(bench *bench) classifier.Outcome
	}{
		{"at once when the queue is too long for it", 0, func(bench *bench) classifier.Outcome {
			bench.occupy(time.Second)
			time.Sleep(2 * time.Second)
			bench.occupy(time.Second)
			// Places come free every 250 ms, so the second in line is too late.
			bench.queue(bench.Context(), online("1", "a"), time.Second)

			begin := time.Now()
			_, outcome := bench.admitter.Enter(bench.Context(), online("2", "a"))
			require.Zero(bench, time.Since(begin))
			require.Equal(bench, 1, bench.admitter.Report().QueuedOnline)

			return outcome
		}},
		{"at once when the deadline has passed", 0, func(bench *bench) classifier.Outcome {
			late := online("1", "a")
			late.Deadline = time.Now()
			_, outcome := bench.admitter.Enter(bench.Context(), late)

			return outcome
		}},
		{"by age when the pace is not known yet", 500 * time.Millisecond, func(bench *bench) classifier.Outcome {
			bench.occupy(time.Minute)
			_, outcome := bench.admitter.Enter(bench.Context(), online("1", "a"))

			return outcome
		}},
		{"at its deadline when that is earlier than the age limit", 100 * time.Millisecond, func(bench *bench) classifier.Outcome {
			bench.occupy(time.Minute)
			hurried := online("1", "a")
			hurried.Deadline = time.Now().Add(100 * time.Millisecond)
			_, outcome := bench.admitter.Enter(bench.Context(), hurried)

			return outcome
		}},
		{"at once when the engine is silent", 0, func(bench *bench) classifier.Outcome {
			first := bench.started(online("1", "a"))
			time.Sleep(interval)
			first.Token()
			bench.occupy(time.Minute)
			time.Sleep(5 * time.Second)
			begin := time.Now()
			_, outcome := bench.admitter.Enter(bench.Context(), online("2", "a"))
			require.Zero(bench, time.Since(begin))

			return outcome
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inBubble(t, noReserve(), places, func(bench *bench) {
				begin := time.Now()
				outcome := test.run(bench)
				require.Equal(t, classifier.NotRun, outcome.Fate)
				require.NotEmpty(t, outcome.Reason)
				require.GreaterOrEqual(t, outcome.RetryAfter, noReserve().MaxWait)
				require.LessOrEqual(t, outcome.RetryAfter, 2*admitter.DefaultSettings().MaxRetryAfter)

				if test.wait > 0 {
					require.Equal(t, test.wait, time.Since(begin))
				}
			})
		})
	}
}

func TestRetryAfterIsJitteredAndRepeatable(t *testing.T) {
	draw := func() []time.Duration {
		times := []time.Duration{}

		inBubble(t, noReserve(), places, func(bench *bench) {
			late := online("1", "a")
			late.Deadline = time.Now()

			for range 8 {
				_, outcome := bench.admitter.Enter(bench.Context(), late)
				times = append(times, outcome.RetryAfter)
			}
		})

		return times
	}
	first := draw()
	require.Equal(t, first, draw())
	require.NotEqual(t, first[0], first[1])
}

func TestOvertakenTicketIsRefusedAtOnce(t *testing.T) {
	policy := noReserve()
	policy.Shares = map[string]int{"light": 2}

	inBubble(t, policy, places, func(bench *bench) {
		bench.occupy(time.Second)
		time.Sleep(2 * time.Second)
		bench.occupy(time.Second)

		// Places come free every 250 ms; the first in line may wait for 500 ms.
		overtaken := bench.queue(bench.Context(), online("heavy", "heavy"), time.Second)

		time.Sleep(100 * time.Millisecond)
		bench.queue(bench.Context(), online("light", "light"), time.Second)
		require.Len(t, overtaken, 1, "it would be second in line, 600 ms after its arrival")
		require.Equal(t, classifier.NotRun, (<-overtaken).Fate)
	})
}

func TestAWrongPredictionRefusesNobody(t *testing.T) {
	inBubble(t, noReserve(), places, func(bench *bench) {
		bench.occupy(time.Second)
		time.Sleep(2 * time.Second)

		// These hold their places longer than those before.
		for range places {
			bench.started(online("held", "a"))
		}

		bench.queue(bench.Context(), online("waits", "a"), time.Minute)
		require.Empty(t, bench.ids())
		time.Sleep(noReserve().MaxWait)
		synctest.Wait()
		require.Equal(t, []string{"waits"}, bench.ids())
		require.Equal(t, places+1, bench.admitter.Report().RunningOnline)

		// The place over the limit counts as one more that waits.
		begin := time.Now()
		_, outcome := bench.admitter.Enter(bench.Context(), online("next", "a"))
		require.Equal(t, classifier.NotRun, outcome.Fate)
		require.Zero(t, time.Since(begin))
	})
}
