package hasher_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"limpetrail/hasher"
)

func TestWeightTellsNamesApart(t *testing.T) {
	require.NotEqual(t, hasher.Weight("ab", "c"), hasher.Weight("a", "bc"))
	require.Equal(t, hasher.Weight("a", "b"), hasher.Weight("a", "b"))
}

// Short names that differ in one character lie evenly between 0 and 1.
func TestUnitsLieEvenly(t *testing.T) {
	const names, parts = 10000, 10

	counts := [parts]int{}

	for name := range names {
		unit := hasher.Unit("server", fmt.Sprint(name))
		require.Greater(t, unit, 0.0)
		require.Less(t, unit, 1.0)

		counts[int(unit*parts)]++
	}

	for _, count := range counts {
		require.InEpsilon(t, names/parts, count, 0.15)
	}
}
