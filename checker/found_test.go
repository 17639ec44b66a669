package checker_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/checker"
)

// Schedules that drawn faults have found, made short.
func TestSchedulesThatBrokeAPromiseOnce(t *testing.T) {
	for name, scenario := range map[string]struct {
		acts []act
		// refused is how many requests may be refused.
		refused int
	}{
		"sidecars that left and were started again in their place are used again": {acts: []act{
			{Kind: sendWhole, Entry: "entry-1", Replica: "model-1"},
			{Kind: "leave", Replica: "model-1"},
			{Kind: "leave", Replica: "model-2"},
			{At: 3 * time.Second, Kind: sendWhole, Entry: "entry-1", Replica: "model-1"},
			{At: 15 * time.Second, Kind: sendWhole, Entry: "entry-1", Replica: "model-1"},
		}, refused: 2},
		"an answer over a silent connection outlives the planned stop of its sidecar": {acts: []act{
			{Kind: sendWhole, Entry: "entry-1", Replica: "draft-1"},
			{Kind: sendWhole, Entry: "entry-2", Replica: "draft-1"},
			{At: time.Millisecond, Kind: "silence", Replica: "draft-1"},
			{At: time.Millisecond, Kind: "silence", Replica: "draft-2"},
			{At: time.Millisecond, Kind: "leave", Replica: "draft-1"},
			{At: time.Millisecond, Kind: "leave", Replica: "draft-2"},
		}},
		// The router draws one of the two models, so both are frozen and leave.
		"a stream that froze is not begun again by a leaving sidecar": {acts: []act{
			{Kind: sendWhole, Entry: "entry-1", Replica: "model-1"},
			{Kind: "engine frozen", Replica: "model-1", Length: 8 * time.Second},
			{Kind: "engine frozen", Replica: "model-2", Length: 8 * time.Second},
			{At: 44 * time.Millisecond, Kind: "leave", Replica: "model-1"},
			{At: 44 * time.Millisecond, Kind: "leave", Replica: "model-2"},
		}, refused: 1},
	} {
		t.Run(name, func(t *testing.T) {
			history, last := play(t, scenario.acts)
			require.Empty(t, checker.Check(history, checker.DefaultBounds()))
			require.NotContains(t, last, checker.KindRefused)
			require.LessOrEqual(t, history.Count(checker.KindRefused), scenario.refused)
		})
	}
}
