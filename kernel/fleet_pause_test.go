package kernel_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/kernel"
)

func TestFleetPauseGrowsWithFleetSize(t *testing.T) {
	for processes, expected := range map[int]time.Duration{
		0: 500 * time.Millisecond, 3: 500 * time.Millisecond, 10: time.Second, 20: 2 * time.Second, 380: 3 * time.Second,
	} {
		require.Equal(t, expected, kernel.FleetPause(500*time.Millisecond, 3*time.Second, processes, 10))
	}
}
