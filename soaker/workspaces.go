package soaker

import (
	"context"
	"fmt"
	"net/http"

	"limpetrail/deployer"
	"limpetrail/kernel"
)

// firstWorkspaceSeed is the first seed whose configuration has workspaces.
const firstWorkspaceSeed = 1100

// hasWorkspaces reports whether the configuration of the seed has workspaces.
func (soak *Soak) hasWorkspaces() bool {
	return soak.Seed >= firstWorkspaceSeed
}

// key returns the key of the load, if the configuration has workspaces.
func (soak *Soak) key() string {
	if soak.hasWorkspaces() {
		return deployer.WorkspaceKey
	}

	return ""
}

// newCallerOf returns a caller of one process with the key of the load.
func (soak *Soak) newCallerOf(process *deployer.Process) deployer.Caller {
	caller := deployer.NewCaller(process)
	caller.Key = soak.key()

	return caller
}

// intrude sends requests without a key and with an unknown one, and asks for jobs as another workspace, until
// the context ends. None of them may succeed.
func (soak *Soak) intrude(ctx context.Context) {
	caller := soak.newCaller()
	defer caller.Client.CloseIdleConnections()

	for index := 0; kernel.Pause(ctx, soak.random.durationBetween(0, 2*meanRequestPause)); index++ {
		id := fmt.Sprintf("intruder-%d", index)

		for _, caller.Key = range []string{"", deployer.UnknownKey} {
			// 503 is the response of a gateway without a configuration, or with an older one.
			if status := caller.RequestStream(ctx, "/stream/x", id).Status; status != 0 && status != http.StatusUnauthorized && status != http.StatusServiceUnavailable {
				soak.history.RecordViolation("KEY: request %s with the key %q was answered %d", id, caller.Key, status)
			}
		}

		caller.Key = deployer.OtherWorkspaceKey

		for _, job := range soak.history.AcceptedJobs() {
			if status, _ := caller.ReadResults(ctx, job, 0); status != 0 && status != http.StatusNotFound && status != http.StatusServiceUnavailable {
				soak.history.RecordViolation("KEY: job %s was answered %d for another workspace", job, status)
			}
		}
	}
}

// checkLabels returns whether a request reached a backend server with a key or for another workspace.
func (soak *Soak) checkLabels() []string {
	if count := soak.Mislabelled(); count > 0 {
		return []string{fmt.Sprintf("KEY: %d requests reached a server with a key, or not for the workspace of the load", count)}
	}

	return nil
}
