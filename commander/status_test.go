package commander_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/app"
	"limpetrail/batcher"
	"limpetrail/observer"
	"limpetrail/placer"
	"limpetrail/quarantiner"
	"limpetrail/router"
)

func TestStatusOfEntriesAndGateways(t *testing.T) {
	for name, scenario := range map[string]struct {
		status      any
		outputParts []string
	}{
		"entry": {
			observer.Status{Instance: "entry-1", DataCentre: "a", Revision: 7, Replicas: []observer.ReplicaStatus{{Replica: router.Replica{Name: "model-1"}}}},
			[]string{"entry-1 in a, document revision 7", "model-1"},
		},
		"gateway": {
			app.GatewayStatus{
				Instance: "front-1", DataCentre: "b", Version: 12, Registered: true,
				Servers: []placer.ServerStatus{
					{Server: placer.Server{ID: "i-1", Service: "model", Places: 8}, Own: placer.Load{Online: 3, Batch: 2}, FirstBytes: 42 * time.Millisecond},
					{Server: placer.Server{ID: "i-2", Leaving: true}},
					{Server: placer.Server{ID: "i-3"}, Suspect: true},
				},
				Jobs: []batcher.JobStatus{{ID: "job-1", Total: 10, Listed: 4}},
				Suspects: []quarantiner.Status{
					{Subject: quarantiner.Subject{Service: "model", Part: "12ca"}, Quarantined: true, Strikes: 2, Release: 20 * time.Second},
					{Subject: quarantiner.Subject{Service: "model", Part: "77fe"}, Strikes: 1},
				},
			},
			[]string{"front-1 in b, configuration version 12, registered true, leaving false", "i-1", "42ms", "ready", "i-2", "leaving", "i-3", "suspect", "job-1", "12ca", "next trial in 20s", "77fe", "watched"},
		},
		"gateway without servers": {app.GatewayStatus{Instance: "front-2", Servers: []placer.ServerStatus{}}, []string{"configuration version 0"}},
	} {
		t.Run(name, func(t *testing.T) {
			text, err := json.Marshal(scenario.status)
			require.NoError(t, err)

			mux := http.NewServeMux()
			mux.HandleFunc("GET "+app.PathStatus, func(writer http.ResponseWriter, _ *http.Request) { _, _ = writer.Write(text) })

			server := httptest.NewServer(mux)
			defer server.Close()

			fixture := &fixture{t: t}
			output, code := fixture.run("status", "--entry", strings.TrimPrefix(server.URL, "http://"))
			require.Zero(t, code, output)

			for _, part := range scenario.outputParts {
				require.Contains(t, output, part)
			}
		})
	}
}
