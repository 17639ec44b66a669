package emulator

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/juju/errors"
)

// What the users' platform writes into its store, and what callers and balancer
// say on the wire, for harnesses that run real processes.
const (
	// PlatformReadyPath is what the balancer asks.
	PlatformReadyPath = "/limpetrail/readyz"
	// PlatformDocumentKey is where the configuration lies.
	PlatformDocumentKey = "op/config"
	platformServers     = "servers/"
	platformJobs        = "/limpetrail/lots/"
)

// States of a backend server in its entry.
const (
	PlatformReady   = "ready"
	PlatformLeaving = "draining"
)

// PlatformDocument is a configuration of the version. Its routes are below the
// prefixes /stream/ (resumable), /once/ (one attempt), /batch/, /hasty/ (jobs that
// are late at once) and one that names the version; its service is "model".
func PlatformDocument(version int) []byte {
	return fmt.Appendf(nil, `{"version":%d,
		"routes":[
			{"name":"stream","host":"host.example","prefix":"/stream/","kind":"streaming","timeoutMs":5000,"targetLatencyMs":300,"service":"model","maxAttempts":2,"resumable":true,"gapAimMs":250},
			{"name":"once","host":"host.example","prefix":"/once/","kind":"streaming","timeoutMs":5000,"targetLatencyMs":300,"service":"model","maxAttempts":1,"gapAimMs":250},
			{"name":"batch","host":"host.example","prefix":"/batch/","kind":"batch","targetLatencyMs":400,"service":"model","maxAttempts":3,"completionTargetMs":18000,"expiryS":60},
			{"name":"hasty","host":"host.example","prefix":"/hasty/","kind":"batch","targetLatencyMs":400,"service":"model","maxAttempts":3,"completionTargetMs":100,"expiryS":60},
			{"name":"version","host":"host.example","prefix":"/version-%d/","kind":"streaming","timeoutMs":5000,"targetLatencyMs":300,"service":"model","maxAttempts":2,"resumable":true,"gapAimMs":250}],
		"services":[{"name":"model","healthPath":"/healthz"}],"limits":{"maxBodyBytes":1000000}}`, version, version)
}

// PlatformServer is the key and the entry of a backend server of "model".
func PlatformServer(id, address, state string, incarnation int) (string, []byte) {
	return platformServers + id, fmt.Appendf(nil,
		`{"service":"model","address":%q,"zone":"a","slots":8,"state":%q,"born":%d}`, address, state, incarnation)
}

// PlatformJob is a job of items with these IDs below the prefix.
func PlatformJob(prefix string, ids []string) ([]byte, error) {
	items := []map[string]any{}
	for _, id := range ids {
		items = append(items, map[string]any{
			"id": id, "path": prefix + "x", "headers": map[string]string{"X-One": "1"}, "body": base64.StdEncoding.EncodeToString([]byte("body")),
		})
	}

	encoded, err := json.Marshal(map[string]any{"items": items})

	return encoded, errors.Trace(err)
}

// PlatformResult is a listed item.
type PlatformResult struct {
	ID     string `json:"id"`
	State  string `json:"state"`
	Output string `json:"output"`
}

// PlatformResultsPath is where a job's results are read from a position on.
func PlatformResultsPath(job string, after int) string {
	return fmt.Sprintf("%s%s?after=%d", platformJobs, job, after)
}

// ReadPlatformResults reads the answer from there.
func ReadPlatformResults(body io.Reader) ([]PlatformResult, error) {
	reading := struct {
		Results []PlatformResult `json:"results"`
	}{}
	err := json.NewDecoder(body).Decode(&reading)

	return reading.Results, errors.Trace(err)
}

// PlatformOutput joins the texts of an item's events as its result has them.
func PlatformOutput(texts []string) string {
	return strings.Join(texts, "\n")
}
