package verifier

import (
	"net/http"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// A client that resubmits a cancelled job must not start it again, also when the
// entry that accepted the cancellation has been killed.
func TestCancelledJobStaysCancelledAfterItsEntryIsKilled(t *testing.T) {
	fleet := newFleet(t, exampleDocument())
	fleet.startSidecar("sidecar-1", "Engine", "briefing")
	fleet.startEntry("entry-1")
	fleet.startEntry("entry-2")

	client := newClient(fleet, "briefings")
	client.postUntil(http.StatusOK, "entry-2", "/v1/files", noticeLines(1))

	lines := noticeLines(500)
	job := client.submitJob("entry-1", "entry-2", lines)
	cancelled := client.post("entry-1", "/v1/batches/"+job.ID+"/cancel", "")
	require.Equal(t, http.StatusOK, cancelled.status, cancelled.body)

	client.awaitStatus("entry-2", job.ID, "cancelled")
	fleet.signal("entry-1", syscall.SIGKILL)

	resubmitted := client.submitJob("entry-2", "entry-2", lines)
	require.Equal(t, job.ID, resubmitted.ID)
	require.Equal(t, "cancelled", resubmitted.Status, "a cancelled job must not be started again")
}
