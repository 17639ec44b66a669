package pacer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/pacer"
)

const (
	runDuration = 700 * time.Millisecond
	runs        = 24
	// callersPerSecond is how many callers a second the places can serve.
	callersPerSecond = float64(runs) / 0.7
)

// simulate sends new callers for a time, of which those that exceed the places are refused. It
// returns the time of the last arrival and the retry time of the last refused caller.
func simulate(retryPacer *pacer.Pacer, now time.Time, length time.Duration, rate float64) (time.Time, time.Duration) {
	end, retryAfter, excess := now.Add(length), time.Duration(0), 0.0

	for now.Before(end) {
		now = now.Add(time.Duration(float64(time.Second) / rate))
		retryPacer.RecordArrival(now)

		for excess += 1 - callersPerSecond/rate; excess >= 1; excess-- {
			retryAfter = retryPacer.NextRetryAfter(now, pacer.ServiceLoad{QueueWait: 100 * time.Millisecond, Runs: runs, RunDuration: runDuration})
		}
	}

	return now, retryAfter
}

// More callers than places arrive, for increasing lengths of time. The retry times grow with the
// age of the overload, within the bounds.
func TestRetryTimesGrowWithOverload(t *testing.T) {
	for length, expected := range map[time.Duration]time.Duration{
		3 * time.Second:  6 * time.Second,
		10 * time.Second: 20 * time.Second,
		time.Minute:      30 * time.Second,
	} {
		t.Run(length.String(), func(t *testing.T) {
			_, retryAfter := simulate(&pacer.Pacer{}, time.Unix(1000, 0), length, 2.5*callersPerSecond)
			require.InDelta(t, expected.Seconds(), retryAfter.Seconds(), 0.5)
		})
	}

	_, retryAfter := simulate(&pacer.Pacer{}, time.Unix(1000, 0), time.Second/2, 2.5*callersPerSecond)
	require.LessOrEqual(t, retryAfter, 2*time.Second, "the overload has just begun")
}

// A thundering herd arrives among few callers. Places are free soon, and the retry times are
// spaced at the rate at which they become free.
func TestThunderingHerdRetriesSoon(t *testing.T) {
	const callers = 24

	retryPacer := pacer.Pacer{}
	now, _ := simulate(&retryPacer, time.Unix(1000, 0), 5*time.Second, 0.2*callersPerSecond)

	for number := range callers {
		retryPacer.RecordArrival(now)

		retryAfter := retryPacer.NextRetryAfter(now, pacer.ServiceLoad{QueueWait: 100 * time.Millisecond, Runs: runs, RunDuration: runDuration})
		require.GreaterOrEqual(t, retryAfter, 100*time.Millisecond)
		require.LessOrEqual(t, retryAfter, 100*time.Millisecond+time.Duration(number+1)*90*time.Millisecond)
	}
}

// When a place was free at once, the retry times assigned in the overload no longer count, and
// the next overload starts from its own beginning.
func TestResetAfterOverload(t *testing.T) {
	retryPacer := pacer.Pacer{}
	now, retryAfter := simulate(&retryPacer, time.Unix(1000, 0), 6*time.Second, 2.5*callersPerSecond)
	require.Greater(t, retryAfter, 10*time.Second)

	retryPacer.Reset()

	now = now.Add(20 * time.Second)
	retryAfter = retryPacer.NextRetryAfter(now, pacer.ServiceLoad{QueueWait: 100 * time.Millisecond, Runs: runs, RunDuration: runDuration})
	require.Equal(t, 100*time.Millisecond, retryAfter)
}

func TestIsRetry(t *testing.T) {
	require.False(t, pacer.IsRetry(5*time.Millisecond))
	require.True(t, pacer.IsRetry(300*time.Millisecond))
}
