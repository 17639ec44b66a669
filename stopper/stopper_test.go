package stopper_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/stopper"
)

// The contexts of requests outlasted the process, or ended before requests had used their time.
func TestRequestsEndBeforeTheProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stop := stopper.NewStopper(2500*time.Millisecond, 8*time.Second)
		early, releaseEarly := stop.Context(context.Background())
		answered, releaseAnswered := stop.Context(context.Background())

		defer releaseEarly()
		releaseAnswered()
		require.ErrorIs(t, context.Cause(answered), context.Canceled)

		_, stopping := stop.TimeLeft()
		require.False(t, stopping || stop.HasBegun() || stop.IsLagOver())

		time.Sleep(time.Hour)
		stop.Begin()

		begun := time.Now()

		time.Sleep(3 * time.Second)
		stop.Begin()

		left, stopping := stop.TimeLeft()
		require.True(t, stopping && stop.HasBegun() && stop.IsLagOver())
		require.NoError(t, early.Err())

		<-early.Done()
		require.ErrorIs(t, context.Cause(early), stopper.ErrStopped)
		require.Equal(t, 3*time.Second+left, time.Since(begun), "a second signal changes nothing")
		require.True(t, stop.ExitAt().After(time.Now()), "there is time for the answer")
		require.True(t, stop.ExitAt().Before(begun.Add(8*time.Second)))

		late, releaseLate := stop.Context(context.Background())
		defer releaseLate()

		synctest.Wait()
		require.ErrorIs(t, context.Cause(late), stopper.ErrStopped)
	})
}
