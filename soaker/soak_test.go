package soaker_test

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/soaker"
	"limpetrail/stager"
)

// seedsVariable names seeds to play instead, as FIRST-LAST.
const seedsVariable = "LIMPETRAIL_SOAK_SEEDS"

// length is how long a run is disturbed.
const length = 12 * time.Second

// kept has each seed that ever failed, and why. The moments of troubles are not
// the same in each run; each cause has a test of its own.
var kept = map[uint64]string{
	9: "a custodian brought a job into the store between a reader's two questions: 404",
}

// seeds are those that CI plays: one of planned work, one of all troubles, one of the wider set, and
// each that ever failed.
func seeds(t *testing.T) []uint64 {
	t.Helper()

	given := os.Getenv(seedsVariable)
	if given == "" {
		return append([]uint64{4, 5, 201}, slices.Sorted(maps.Keys(kept))...)
	}

	from, to, _ := strings.Cut(given, "-")
	first, err := strconv.ParseUint(from, 10, 64)
	require.NoError(t, err, seedsVariable)

	last, err := strconv.ParseUint(to, 10, 64)
	require.NoError(t, err, seedsVariable)

	found := []uint64{}
	for seed := first; seed <= last; seed++ {
		found = append(found, seed)
	}

	return found
}

// Whatever happens to the processes, their links and the platform, callers and
// backend servers see no broken promise.
func TestPromisesHoldInASoak(t *testing.T) {
	for _, seed := range seeds(t) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()

			soak := soaker.NewSoak(stager.NewDeployment(t), seed)
			require.Empty(t, soak.Run(t.Context(), length))
		})
	}
}
