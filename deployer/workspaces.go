package deployer

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
)

// Keys of a configuration with workspaces.
const (
	// WorkspaceKey is a key of the workspace that the load belongs to.
	WorkspaceKey = "ftimaj3nr26tta828m82"
	// OtherWorkspaceKey is a key of another workspace.
	OtherWorkspaceKey = "thhkmgjqnirth5mgjy5r"
	// UnknownKey is a key of no workspace.
	UnknownKey = "unknown-key"
	// workspaceName is the name of the workspace that the load belongs to.
	workspaceName = "load"
)

// UseWorkspaces writes a configuration with workspaces. All later versions have them, too.
func (deployment *Deployment) UseWorkspaces(version int) {
	deployment.workspaces.Store(true)
	deployment.WriteConfiguration(version)
}

// Mislabelled returns how many requests reached a backend server with a key, or for another workspace
// than that of the load, since the configuration has workspaces.
func (deployment *Deployment) Mislabelled() int64 {
	return deployment.mislabelled.Load()
}

// checkLabels counts the requests that are mislabelled. Requests without an ID are health checks.
func (deployment *Deployment) checkLabels(server http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if deployment.workspaces.Load() && request.Header.Get("X-Limpetrail-Attempt-Id") != "" {
			headers := fmt.Sprint(request.Header)
			isLabelled := request.Header.Get("X-Limpetrail-Tenant") == workspaceName

			if !isLabelled || strings.Contains(headers, WorkspaceKey) || strings.Contains(headers, OtherWorkspaceKey) {
				deployment.mislabelled.Add(1)
			}
		}

		server.ServeHTTP(writer, request)
	})
}

// withWorkspaces adds two workspaces to a configuration.
func withWorkspaces(document []byte) []byte {
	return fmt.Appendf(bytes.TrimSuffix(document, []byte("}")), `,"tenants":[{"name":%q,"apiKeys":[%q]},{"name":"other","apiKeys":[%q]}]}`, workspaceName, WorkspaceKey, OtherWorkspaceKey)
}
