package verifier

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Clients may submit the same content through two entries at the same time; this
// must create one job, whose items each run once.
func TestConcurrentSubmissionsOfOneJobRunOnce(t *testing.T) {
	fleet := newFleet(t, exampleDocument())
	fleet.startSidecar("sidecar-1", "Engine", "briefing")
	fleet.startEntry("entry-1")
	fleet.startEntry("entry-2")

	client := newClient(fleet, "briefings")
	entries := []string{"entry-1", "entry-2"}
	file := ""

	for _, entry := range entries {
		file = decode[struct{ ID string }](t, client.postUntil(http.StatusOK, entry, "/v1/files", noticeLines(20))).ID
	}

	start, answers := make(chan struct{}), make(chan answer, 8)

	for number := range cap(answers) {
		go func() {
			<-start

			answers <- client.post(entries[number%2], "/v1/batches", fmt.Sprintf(`{"input_file_id":%q,"completion_window":"1h"}`, file))
		}()
	}

	close(start)

	ids := map[string]bool{}

	for range cap(answers) {
		ids[decode[batchStatus](t, <-answers).ID] = true
	}

	require.Len(t, ids, 1, "concurrent submissions of the same content must create one job")

	for id := range ids {
		finalStatus := client.awaitStatus("entry-1", id, "completed")
		require.Equal(t, 20, finalStatus.RequestCounts.Completed)
		require.Zero(t, finalStatus.RequestCounts.Failed)

		for _, entry := range entries {
			results := client.get(entry, "/v1/batches/"+id+"/results")
			require.Equal(t, http.StatusOK, results.status, results.body)

			for number := range 20 {
				require.Equal(t, 1, strings.Count(results.body, fmt.Sprintf(`"school-%d"`, number)), "results of school-%d", number)
			}
		}
	}
}
