package editor_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"limpetrail/editor"
	"limpetrail/emulator"
	"limpetrail/kernel"
	_ "limpetrail/seeder" // Draws are the same in each run.
)

// Operators race through entries of their own while answers are lost. Each
// adds workspaces of its own and sets one contended field; whatever was
// acknowledged is in the document, or in its history below a later change.
func TestNoAcknowledgedEditIsLost(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		drops := rapid.SliceOfN(rapid.IntRange(0, 3), 6, 6).Draw(rt, "drops")
		pauses := rapid.SliceOfN(rapid.IntRange(0, 200), 12, 12).Draw(rt, "pauses")

		synctest.Test(t, func(t *testing.T) {
			_, store := newEditor(t)
			race := &race{store: store}
			ended := make(chan struct{})

			for operator := range 3 {
				go func() {
					race.operate(t.Context(), operator, pauses[4*operator:4*operator+4])
					ended <- struct{}{}
				}()
			}

			for _, drop := range drops {
				store.Faults.Set(emulator.Switches{DropAnswers: drop})
				time.Sleep(50 * time.Millisecond)
			}

			for range 3 {
				<-ended
			}

			race.check(t)
		})
	})
}

type race struct {
	store *emulator.Store
	// acknowledged holds the workspace and mark of each accepted edit.
	acknowledged [3][][2]string
	failures     [3][]editor.Result
}

func (race *race) operate(ctx context.Context, operator int, pauses []int) {
	edits := editor.NewEditor(kernel.Discard(fmt.Sprint("entry", operator)), race.store)

	for number, pause := range pauses {
		record, revision, err := edits.Read(ctx)
		if err != nil {
			continue
		}

		time.Sleep(time.Duration(pause) * time.Millisecond)

		name := fmt.Sprintf("w-%d-%d", operator, number)
		document := record.Document
		document.Workspaces = append(append([]editor.Workspace{}, document.Workspaces...), editor.Workspace{Name: name, Firm: "north"})

		result := edits.Apply(ctx, editor.Edit{Operator: "olga", Revision: revision, Document: &document})
		switch result.Verdict {
		case editor.VerdictApplied:
			race.acknowledged[operator] = append(race.acknowledged[operator], [2]string{name, result.Mark})
		case editor.VerdictUnknown:
		default:
			race.failures[operator] = append(race.failures[operator], result)
		}
	}
}

func (race *race) check(t *testing.T) {
	t.Helper()

	entry, err := race.store.Get(t.Context(), editor.DocumentKey)
	require.NoError(t, err)

	record, err := editor.DecodeRecord(entry.Value)
	require.NoError(t, err)

	workspaces, marks := map[string]bool{}, map[string]int{}
	for _, workspace := range record.Workspaces {
		workspaces[workspace.Name] = true
	}

	for _, change := range record.History {
		marks[change.Mark]++
	}

	for operator := range race.acknowledged {
		require.Empty(t, race.failures[operator])

		for _, edit := range race.acknowledged[operator] {
			require.True(t, workspaces[edit[0]], "acknowledged edit %s is lost", edit[0])
			require.Equal(t, 1, marks[edit[1]], "edit %s was written more than once", edit[0])
		}
	}

	require.Len(t, record.History, int(entry.Revision))
	_, err = json.Marshal(record)
	require.NoError(t, err)
}
