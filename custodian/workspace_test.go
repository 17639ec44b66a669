package custodian_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"limpetrail/bookkeeper"
	"limpetrail/custodian"
	"limpetrail/kernel"
)

// A custodian must not tell another workspace that a job exists, nor take a job that has the same ID for
// it, also after a restart.
func TestHeldJobIsShownToItsWorkspaceOnly(t *testing.T) {
	service := &fakeKeyValue{unavailable: true, created: map[string]int{}}
	disk := &disk{path: t.TempDir()}
	disk.start(t, service)

	job := newJob("a")
	job.Workspace = "first"
	require.NoError(t, disk.holder.Accept(job))
	require.NoError(t, disk.holder.Accept(job))
	require.NoError(t, disk.holder.Accept(newJob("old")))

	job.Workspace = "second"
	require.Error(t, disk.holder.Accept(job))

	disk.stopAndWait()
	disk.start(t, service)

	mux := http.NewServeMux()
	disk.holder.Register(mux)

	server := httptest.NewServer(mux)
	defer server.Close()

	depositor := custodian.NewDepositor(kernel.NewDiscardCommon("entry"), 1)
	depositor.SetCustodians(map[string]string{"a": strings.TrimPrefix(server.URL, "http://")})

	for reader, shown := range map[bookkeeper.Reader]bool{
		{}: true, {Restricted: true}: false, {Restricted: true, Workspace: "first"}: true, {Restricted: true, Workspace: "second"}: false,
	} {
		found, complete := depositor.HasJob(context.Background(), "a", reader)
		require.Equal(t, shown, found, reader)
		require.True(t, complete)

		found, _ = depositor.HasJob(context.Background(), "old", reader)
		require.True(t, found, "jobs without a workspace are open to all")
	}
}
