package kernel_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/kernel"
)

// The first event is logged at once, and each event is counted in exactly one line.
func TestRepeatedLinesAreLimitedAndCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := kernel.NewLogLimiter(time.Second)
		lines, events := 0, 0

		for range 100 {
			if count := limiter.CountEvent(); count > 0 {
				lines++
				events += count
			}

			time.Sleep(35 * time.Millisecond)
		}

		require.Equal(t, 4, lines)
		require.Equal(t, 88, events)

		time.Sleep(time.Second)
		require.Equal(t, 100-events+1, limiter.CountEvent())
	})
}
