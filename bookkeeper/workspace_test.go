package bookkeeper_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"limpetrail/bookkeeper"
	"limpetrail/keeper"
)

// Records of earlier versions have no workspace, and earlier versions read those that are written now.
func TestRecordsWithoutAWorkspaceAreUnchanged(t *testing.T) {
	for _, record := range []any{bookkeeper.Job{ID: "a"}, bookkeeper.NewHead(bookkeeper.Job{ID: "a"})} {
		encoded, err := json.Marshal(record)
		require.NoError(t, err)
		require.NotContains(t, string(encoded), "Workspace")
	}

	head, err := bookkeeper.DecodeHead(keeper.Item{Value: []byte(`{"Owner":"g","Host":"h","Total":1}`)})
	require.NoError(t, err)
	require.Empty(t, head.Workspace)
	require.True(t, bookkeeper.Reader{Restricted: true, Workspace: "a"}.MayRead(head.Workspace))

	job := bookkeeper.Job{ID: "a", Workspace: "w"}
	require.Equal(t, "w", bookkeeper.NewHead(job).Job("a", nil).Workspace)
}
