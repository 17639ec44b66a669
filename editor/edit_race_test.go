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
	_ "limpetrail/seeder" // Makes the random draws the same in each run.
)

// Three operators edit concurrently, each through its own entry, while answers of
// the key-value service are lost. Each adds its own workspaces; every acknowledged
// edit has to be in the document, and exactly once in the history.
func TestNoAcknowledgedEditIsLost(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		lostAnswers := rapid.SliceOfN(rapid.IntRange(0, 3), 6, 6).Draw(rt, "lostAnswers")
		pauses := rapid.SliceOfN(rapid.IntRange(0, 200), 12, 12).Draw(rt, "pauses")

		synctest.Test(t, func(t *testing.T) {
			_, store := newEditor(t)
			race := &editRace{store: store}
			finished := make(chan struct{})

			for operator := range 3 {
				go func() {
					race.applyEdits(t.Context(), operator, pauses[4*operator:4*operator+4])
					finished <- struct{}{}
				}()
			}

			for _, lost := range lostAnswers {
				store.Faults.Set(emulator.FaultSwitches{DropAnswers: lost})
				time.Sleep(50 * time.Millisecond)
			}

			for range 3 {
				<-finished
			}

			race.requireAcknowledgedEditsKept(t)
		})
	})
}

type editRace struct {
	store *emulator.Store
	// acknowledged holds the workspace and mark of each accepted edit.
	acknowledged [3][][2]string
	failures     [3][]editor.Result
}

func (race *editRace) applyEdits(ctx context.Context, operator int, pauses []int) {
	documentEditor := editor.NewEditor(kernel.NewDiscardCommon(fmt.Sprint("entry", operator)), race.store)

	for number, pause := range pauses {
		record, revision, err := documentEditor.Read(ctx)
		if err != nil {
			continue
		}

		time.Sleep(time.Duration(pause) * time.Millisecond)

		name := fmt.Sprintf("w-%d-%d", operator, number)
		document := record.Document
		document.Workspaces = append(append([]editor.Workspace{}, document.Workspaces...), editor.Workspace{Name: name, Firm: "north"})

		result := documentEditor.Apply(ctx, editor.Edit{Operator: "olga", Revision: revision, Document: &document})
		switch result.Verdict {
		case editor.VerdictApplied:
			race.acknowledged[operator] = append(race.acknowledged[operator], [2]string{name, result.Mark})
		case editor.VerdictUnknown:
		default:
			race.failures[operator] = append(race.failures[operator], result)
		}
	}
}

func (race *editRace) requireAcknowledgedEditsKept(t *testing.T) {
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
