package bookkeeper_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"limpetrail/bookkeeper"
)

// Segments are read back as the results that they were made of, also where a result is longer than
// a value and a former owner left some of its fragments.
func TestSegmentsRoundTrip(t *testing.T) {
	const limit = 10_000

	results := []bookkeeper.Result{
		{ID: "a", Output: "short"},
		{ID: "b", Output: strings.Repeat("<td>", 20_000)},
		{ID: "c", State: bookkeeper.GivenUp},
		{ID: "d", Output: strings.Repeat("\x01", 1600)},
		{ID: "e", Output: strings.Repeat("<", 1600)},
		{ID: "f", Output: strings.Repeat("x", 9_990)},
	}
	remaining, position, joiner, read := results, 0, bookkeeper.Joiner{}, []bookkeeper.Result{}

	for len(remaining) > 0 {
		segments, err := bookkeeper.EncodeSegments(position, remaining, limit)
		require.NoError(t, err)
		require.NotEmpty(t, segments)

		if len(segments) > 1 {
			// A former owner was lost in the middle.
			segments = append(segments[:len(segments)/2:len(segments)/2], segments...)
		}

		for _, encoded := range segments {
			require.LessOrEqual(t, len(encoded.Value), limit)

			decoded := bookkeeper.Segment{}
			require.NoError(t, json.Unmarshal(encoded.Value, &decoded))
			require.Equal(t, position, decoded.First)

			added, err := joiner.Results(decoded)
			require.NoError(t, err)

			read = append(read, added...)
		}

		remaining, position = results[len(read):], len(read)
	}

	require.Equal(t, results, read)
}

// Partial output that does not fit into one value leaves out the items with the least.
func TestPartialOutputIsBoundedAsEncoded(t *testing.T) {
	const limit = 10_000

	partials := map[string]bookkeeper.Partial{}
	for number := range 20 {
		partials[fmt.Sprint("item-", number)] = bookkeeper.Partial{Events: number + 1, Output: strings.Repeat("<", 200)}
	}

	value, omitted, err := bookkeeper.EncodePartials(partials, limit)
	require.NoError(t, err)
	require.LessOrEqual(t, len(value), limit)
	require.Positive(t, omitted)

	saved := map[string]bookkeeper.Partial{}
	require.NoError(t, json.Unmarshal(value, &saved))
	require.Len(t, saved, len(partials)-omitted)
	require.Equal(t, partials["item-19"], saved["item-19"])
	require.NotContains(t, saved, "item-0")
}
