package batcher

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The delay of a suspected item kept it from idle servers for longer than the 5 s after which it
// counts as left, although nothing showed that it had ended the servers.
func TestDelayOfASuspectedItem(t *testing.T) {
	const (
		leftAfter = 5 * time.Second
		// failedWithin is how long an item whose last run failed does not count as left.
		failedWithin = 20 * time.Second
	)

	for name, scenario := range map[string]struct {
		unexplained, alone int
		shortest, longest  time.Duration
	}{
		"one server ended":           {1, 1, 0, 0},
		"two ended beside others":    {2, 0, time.Second, leftAfter},
		"three ended beside others":  {3, 0, 2 * time.Second, leftAfter},
		"the item was alone":         {3, 1, leftAfter, failedWithin},
		"the item was alone twice":   {4, 2, failedWithin, maxTrialDelay},
		"five ended beside others":   {manyServerEnds, 0, leftAfter, failedWithin},
		"six ended beside others":    {manyServerEnds + 1, 0, failedWithin, maxTrialDelay},
		"many ended":                 {maxServerEnds, 0, failedWithin, maxTrialDelay + time.Second},
		"the item was alone at many": {maxServerEnds, maxServerEnds, failedWithin, maxTrialDelay + time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			for range 100 {
				ends := serverEnds{}
				ends.add(serverEnd{endedAt: time.Now()})

				delay := ends.delay(scenario.unexplained, scenario.alone)
				require.GreaterOrEqual(t, delay, scenario.shortest)
				require.LessOrEqual(t, delay, scenario.longest)
			}
		})
	}
}
