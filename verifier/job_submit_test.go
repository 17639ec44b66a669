package verifier

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSameJobSubmittedThroughTwoEntriesAtOnceRunsOnce(t *testing.T) {
	fleet := newFleet(t, exampleDocument())
	fleet.sidecar("sidecar-1", "Engine", "briefing")
	fleet.entry("entry-1")
	fleet.entry("entry-2")

	caller := newCaller(fleet, "briefings")
	entries := []string{"entry-1", "entry-2"}
	file := ""

	for _, entry := range entries {
		file = parse[struct{ ID string }](t, caller.eventually(http.StatusOK, entry, "/v1/files", notices(20))).ID
	}

	start, answers := make(chan struct{}), make(chan answer, 8)

	for number := range cap(answers) {
		go func() {
			<-start

			answers <- caller.post(entries[number%2], "/v1/batches", fmt.Sprintf(`{"input_file_id":%q,"completion_window":"1h"}`, file))
		}()
	}

	close(start)

	ids := map[string]bool{}

	for range cap(answers) {
		ids[parse[batchStatus](t, <-answers).ID] = true
	}

	require.Len(t, ids, 1, "submissions of the same job at once are one job")

	for id := range ids {
		ended := caller.untilEnded("entry-1", id, "completed")
		require.Equal(t, 20, ended.RequestCounts.Completed)
		require.Zero(t, ended.RequestCounts.Failed)

		for _, entry := range entries {
			results := caller.get(entry, "/v1/batches/"+id+"/results")
			require.Equal(t, http.StatusOK, results.status, results.body)

			for number := range 20 {
				require.Equal(t, 1, strings.Count(results.body, fmt.Sprintf(`"school-%d"`, number)), "results of school-%d", number)
			}
		}
	}
}
