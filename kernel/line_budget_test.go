package kernel_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/kernel"
)

// Each event is in one line's figure, and the first is written at once.
func TestLinesOfOneKindAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := kernel.NewLineBudget(time.Second)
		lines, events := 0, 0

		for range 100 {
			if represented := budget.Take(); represented > 0 {
				lines++
				events += represented
			}

			time.Sleep(35 * time.Millisecond)
		}

		require.Equal(t, 4, lines)
		require.Equal(t, 88, events)

		time.Sleep(time.Second)
		require.Equal(t, 100-events+1, budget.Take())
	})
}
