package verifier

import (
	"net/http"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCancelledJobStaysCancelledWithoutTheEntryThatTookTheCancel(t *testing.T) {
	fleet := newFleet(t, exampleDocument())
	fleet.sidecar("sidecar-1", "Engine", "briefing")
	fleet.entry("entry-1")
	fleet.entry("entry-2")

	caller := newCaller(fleet, "briefings")
	caller.eventually(http.StatusOK, "entry-2", "/v1/files", notices(1))

	lines := notices(500)
	job := caller.submit("entry-1", "entry-2", lines)
	taken := caller.post("entry-1", "/v1/batches/"+job.ID+"/cancel", "")
	require.Equal(t, http.StatusOK, taken.status, taken.body)

	caller.untilEnded("entry-2", job.ID, "cancelled")
	fleet.signal("entry-1", syscall.SIGKILL)

	again := caller.submit("entry-2", "entry-2", lines)
	require.Equal(t, job.ID, again.ID)
	require.Equal(t, "cancelled", again.Status, "a cancelled job is not opened again")
}
