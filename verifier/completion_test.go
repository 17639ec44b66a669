package verifier

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"limpetrail/dispatcher"
	"limpetrail/editor"
	"limpetrail/handler"
)

// exampleDocument returns a document with one firm, one workspace and one service
// of each kind.
func exampleDocument() editor.Document {
	return editor.Document{
		Firms:      []editor.Firm{{Name: "kilimanjaro", Staff: []string{"asha"}, Share: 1}},
		Workspaces: []editor.Workspace{{Name: "briefings", Firm: "kilimanjaro"}},
		Models:     []editor.Model{{Name: "forecast", Versions: []editor.Version{{Name: "v1", Weights: "forecast-v1"}}}},
		Services: []editor.Service{
			{Name: "briefing", Kind: editor.ServiceKindModel, Model: "forecast", Version: "v1", Replicas: 1, Idempotent: true},
			{Name: "order", Kind: editor.ServiceKindPlain, Replicas: 1},
		},
	}
}

func TestCompletionIsStreamedThroughSeparateProcesses(t *testing.T) {
	fleet := newFleet(t, exampleDocument())
	fleet.startSidecar("sidecar-1", "Engine", "briefing")
	fleet.startEntry("entry-1")

	body := `{"model":"briefing","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"Pollen in Moshi?"}]}`
	answer := newClient(fleet, "briefings").postUntil(http.StatusOK, "entry-1", "/v1/chat/completions", body)

	text, done := answer.streamedText(t)
	require.True(t, done)
	require.Equal(t, expectedText(body, 20), text)
}

func TestRequestsWithSharedPrefixGoToSameReplica(t *testing.T) {
	fleet := newFleet(t, exampleDocument())
	for _, name := range []string{"sidecar-1", "sidecar-2", "sidecar-3"} {
		fleet.startSidecar(name, "Engine", "briefing")
	}

	fleet.startEntry("entry-1")
	fleet.startEntry("entry-2")

	client := newClient(fleet, "briefings")
	template := strings.Repeat("You write briefings for clinics. ", 10)
	replicas := map[string]bool{}

	for number := range 20 {
		body := fmt.Sprintf(`{"model":"briefing","max_tokens":1,"prompt":"%s%d"}`, template, number)
		entry := fmt.Sprintf("entry-%d", number%2+1)
		answer := client.postUntil(http.StatusOK, entry, "/v1/completions", body)
		_, replica, _ := dispatcher.SplitAttemptID(answer.header.Get(handler.RequestIDHeader))
		replicas[replica] = true
	}

	require.Len(t, replicas, 1)
}

func TestCompletionSurvivesKillOfOneOfTwoSidecars(t *testing.T) {
	fleet := newFleet(t, exampleDocument())
	fleet.startSidecar("sidecar-1", "Engine", "briefing")
	fleet.startSidecar("sidecar-2", "Engine", "briefing")
	fleet.startEntry("entry-1")

	client := newClient(fleet, "briefings")
	body := `{"model":"briefing","max_tokens":4,"prompt":"Pollen in Moshi?"}`
	client.postUntil(http.StatusOK, "entry-1", "/v1/completions", body)

	fleet.signal("sidecar-1", syscall.SIGKILL)

	for range 10 {
		answer := client.post("entry-1", "/v1/completions", body)
		require.Equal(t, http.StatusOK, answer.status, answer.body)
		require.Contains(t, answer.body, expectedText(body, 4))
	}
}
