package throttler_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"limpetrail/throttler"
)

// A limit that cannot be read must neither lift the previous one nor stop all requests.
func TestUnreadableLimitsAreNoStatements(t *testing.T) {
	for text, want := range map[string]throttler.Statement{
		"": {}, " ": {},
		"2.5": {Limited: true, PerSecond: 2.5}, " 3 ": {Limited: true, PerSecond: 3}, "0": {Limited: true}, "1e3": {Limited: true, PerSecond: 1000},
	} {
		statement, err := throttler.ParseStatement(text)
		require.NoError(t, err, text)
		require.Equal(t, want, statement, text)
	}

	for _, text := range []string{"-1", "NaN", "Inf", "-Inf", "1e999", "2,5", "fast", "2.5/s"} {
		_, err := throttler.ParseStatement(text)
		require.Error(t, err, text)
	}
}
