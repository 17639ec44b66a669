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
		// wait is how long the request waited before it was refused; zero is
		// not checked.
		wait time.Duration
		run  func(fixture *fixture) classifier.Outcome
	}{
		{"at once when the predicted wait is too long", 0, func(fixture *fixture) classifier.Outcome {
			fixture.fillLimit(time.Second)
			time.Sleep(2 * time.Second)
			fixture.fillLimit(time.Second)
			// A place becomes free every 250 ms, so the second in the queue is too late.
			fixture.queue(fixture.Context(), online("1", "a"), time.Second)

			begin := time.Now()
			_, outcome := fixture.admitter.Acquire(fixture.Context(), online("2", "a"))
			require.Zero(fixture, time.Since(begin))
			require.Equal(fixture, 1, fixture.admitter.Report().QueuedOnline)

			return outcome
		}},
		{"at once when the deadline has passed", 0, func(fixture *fixture) classifier.Outcome {
			late := online("1", "a")
			late.Deadline = time.Now()
			_, outcome := fixture.admitter.Acquire(fixture.Context(), late)

			return outcome
		}},
		{"after the maximum wait when no hold time is known yet", 500 * time.Millisecond, func(fixture *fixture) classifier.Outcome {
			fixture.fillLimit(time.Minute)
			_, outcome := fixture.admitter.Acquire(fixture.Context(), online("1", "a"))

			return outcome
		}},
		{"at its deadline when that is before the maximum wait", 100 * time.Millisecond, func(fixture *fixture) classifier.Outcome {
			fixture.fillLimit(time.Minute)
			urgent := online("1", "a")
			urgent.Deadline = time.Now().Add(100 * time.Millisecond)
			_, outcome := fixture.admitter.Acquire(fixture.Context(), urgent)

			return outcome
		}},
		{"at once when the engine has stalled", 0, func(fixture *fixture) classifier.Outcome {
			first := fixture.acquireStarted(online("1", "a"))
			time.Sleep(tokenInterval)
			first.RecordToken()
			fixture.fillLimit(time.Minute)
			time.Sleep(5 * time.Second)
			begin := time.Now()
			_, outcome := fixture.admitter.Acquire(fixture.Context(), online("2", "a"))
			require.Zero(fixture, time.Since(begin))

			return outcome
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withFixture(t, noReserve(), places, func(fixture *fixture) {
				begin := time.Now()
				outcome := test.run(fixture)
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
	retryTimes := func() []time.Duration {
		times := []time.Duration{}

		withFixture(t, noReserve(), places, func(fixture *fixture) {
			late := online("1", "a")
			late.Deadline = time.Now()

			for range 8 {
				_, outcome := fixture.admitter.Acquire(fixture.Context(), late)
				times = append(times, outcome.RetryAfter)
			}
		})

		return times
	}
	first := retryTimes()
	require.Equal(t, first, retryTimes())
	require.NotEqual(t, first[0], first[1])
}

func TestOvertakenRequestIsRefusedAtOnce(t *testing.T) {
	policy := noReserve()
	policy.Shares = map[string]int{"light": 2}

	withFixture(t, policy, places, func(fixture *fixture) {
		fixture.fillLimit(time.Second)
		time.Sleep(2 * time.Second)
		fixture.fillLimit(time.Second)

		// A place becomes free every 250 ms; the first in the queue may wait for 500 ms.
		overtaken := fixture.queue(fixture.Context(), online("heavy", "heavy"), time.Second)

		time.Sleep(100 * time.Millisecond)
		fixture.queue(fixture.Context(), online("light", "light"), time.Second)
		require.Len(t, overtaken, 1, "it would be second in the queue and start 600 ms after its arrival")
		require.Equal(t, classifier.NotRun, (<-overtaken).Fate)
	})
}

func TestWronglyPredictedWaitIsNotRefused(t *testing.T) {
	withFixture(t, noReserve(), places, func(fixture *fixture) {
		fixture.fillLimit(time.Second)
		time.Sleep(2 * time.Second)

		// These requests hold their places longer than the earlier ones.
		for range places {
			fixture.acquireStarted(online("held", "a"))
		}

		fixture.queue(fixture.Context(), online("waits", "a"), time.Minute)
		require.Empty(t, fixture.admittedIDs())
		time.Sleep(noReserve().MaxWait)
		synctest.Wait()
		require.Equal(t, []string{"waits"}, fixture.admittedIDs())
		require.Equal(t, places+1, fixture.admitter.Report().RunningOnline)

		// The place over the limit counts as one more waiting request.
		begin := time.Now()
		_, outcome := fixture.admitter.Acquire(fixture.Context(), online("next", "a"))
		require.Equal(t, classifier.NotRun, outcome.Fate)
		require.Zero(t, time.Since(begin))
	})
}
