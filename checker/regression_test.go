package checker_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/checker"
)

// Shortened schedules of random faults that once violated a rule.
func TestRegressionSchedules(t *testing.T) {
	for name, scenario := range map[string]struct {
		actions []action
		// maxRefused is how many requests may be refused.
		maxRefused int
	}{
		"restarted sidecars are used again": {actions: []action{
			{Kind: sendWithoutKey, Entry: "entry-1", Replica: "model-1"},
			{Kind: "leave", Replica: "model-1"},
			{Kind: "leave", Replica: "model-2"},
			{Start: 3 * time.Second, Kind: sendWithoutKey, Entry: "entry-1", Replica: "model-1"},
			{Start: 15 * time.Second, Kind: sendWithoutKey, Entry: "entry-1", Replica: "model-1"},
		}, maxRefused: 2},
		"a planned stop waits for an answer over a connection that loses data": {actions: []action{
			{Kind: sendWithoutKey, Entry: "entry-1", Replica: "draft-1"},
			{Kind: sendWithoutKey, Entry: "entry-2", Replica: "draft-1"},
			{Start: time.Millisecond, Kind: "silence", Replica: "draft-1"},
			{Start: time.Millisecond, Kind: "silence", Replica: "draft-2"},
			{Start: time.Millisecond, Kind: "leave", Replica: "draft-1"},
			{Start: time.Millisecond, Kind: "leave", Replica: "draft-2"},
		}},
		// The router picks one of the two models at random, so both freeze and leave.
		"a leaving sidecar does not start a frozen stream again": {actions: []action{
			{Kind: sendWithoutKey, Entry: "entry-1", Replica: "model-1"},
			{Kind: "engine frozen", Replica: "model-1", Length: 8 * time.Second},
			{Kind: "engine frozen", Replica: "model-2", Length: 8 * time.Second},
			{Start: 44 * time.Millisecond, Kind: "leave", Replica: "model-1"},
			{Start: 44 * time.Millisecond, Kind: "leave", Replica: "model-2"},
		}, maxRefused: 1},
	} {
		t.Run(name, func(t *testing.T) {
			history, lastEnds := runSchedule(t, scenario.actions)
			require.Empty(t, checker.Check(history, checker.DefaultBounds()))
			require.NotContains(t, lastEnds, checker.KindRefused)
			require.LessOrEqual(t, history.Count(checker.KindRefused), scenario.maxRefused)
		})
	}
}
