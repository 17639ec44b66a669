package emulator

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/juju/errors"
)

// Paths and keys of the platform's protocols, for tests that run real processes.
const (
	// PlatformReadyPath is the path of the load balancer's readiness check.
	PlatformReadyPath = "/limpetrail/readyz"
	// PlatformDocumentKey is the key of the operators' configuration in the store.
	PlatformDocumentKey  = "op/config"
	platformServerPrefix = "servers/"
	platformJobsPath     = "/limpetrail/lots/"
)

// States of a backend server in its entry in the store.
const (
	PlatformReady   = "ready"
	PlatformLeaving = "draining"
)

// firstPlatformVersion is the version of the configuration that tests begin with.
const firstPlatformVersion = 3

// PlatformDocument returns a configuration with the version. Its routes have the
// prefixes /stream/ (resumable), /once/ (one attempt), /batch/, /hasty/ (jobs whose
// deadline passes at once) and one that contains the version; its service is "model". Versions
// above firstPlatformVersion also have /added/ (jobs).
func PlatformDocument(version int) []byte {
	added := ""
	if version > firstPlatformVersion {
		added = `{"name":"added","host":"host.example","prefix":"/added/","kind":"batch","targetLatencyMs":400,"service":"model","maxAttempts":3,"completionTargetMs":18000,"expiryS":60},`
	}

	return fmt.Appendf(nil, `{"version":%d,
		"routes":[
			{"name":"stream","host":"host.example","prefix":"/stream/","kind":"streaming","timeoutMs":5000,"targetLatencyMs":300,"service":"model","maxAttempts":2,"resumable":true,"gapAimMs":250},
			{"name":"once","host":"host.example","prefix":"/once/","kind":"streaming","timeoutMs":5000,"targetLatencyMs":300,"service":"model","maxAttempts":1,"gapAimMs":250},
			{"name":"batch","host":"host.example","prefix":"/batch/","kind":"batch","targetLatencyMs":400,"service":"model","maxAttempts":3,"completionTargetMs":18000,"expiryS":60},
			{"name":"hasty","host":"host.example","prefix":"/hasty/","kind":"batch","targetLatencyMs":400,"service":"model","maxAttempts":3,"completionTargetMs":100,"expiryS":60},
			%s{"name":"version","host":"host.example","prefix":"/version-%d/","kind":"streaming","timeoutMs":5000,"targetLatencyMs":300,"service":"model","maxAttempts":2,"resumable":true,"gapAimMs":250}],
		"services":[{"name":"model","healthPath":"/healthz"}],"limits":{"maxBodyBytes":1000000}}`, version, added, version)
}

// PlatformServerEntry returns the key and the entry of a backend server of "model". An empty software
// version is left out.
func PlatformServerEntry(id, address, state, software string, incarnation int) (string, []byte) {
	version := ""
	if software != "" {
		version = fmt.Sprintf(`,"version":%q`, software)
	}

	return platformServerPrefix + id, fmt.Appendf(nil,
		`{"service":"model","address":%q,"zone":"a"%s,"slots":8,"state":%q,"born":%d}`, address, version, state, incarnation)
}

// PlatformServiceEntry returns the key and the entry of a backend server of any service.
func PlatformServiceEntry(service, id, address string, places int) (string, []byte) {
	return platformServerPrefix + id, fmt.Appendf(nil,
		`{"service":%q,"address":%q,"zone":"a","slots":%d,"state":%q,"born":1}`, service, address, places, PlatformReady)
}

// PlatformJob returns the body of a job whose items have these IDs and use the route of
// the prefix. Their prompts have the parts, separated by commas, before one of their own.
func PlatformJob(prefix string, ids []string, parts string) ([]byte, error) {
	items := []map[string]any{}
	for _, id := range ids {
		headers := map[string]string{"X-One": "1"}
		if parts != "" {
			headers[PlatformEventHeaders().PromptParts] = parts + "," + id
		}

		items = append(items, map[string]any{
			"id": id, "path": prefix + "x", "headers": headers, "body": base64.StdEncoding.EncodeToString([]byte("body")),
		})
	}

	encoded, err := json.Marshal(map[string]any{"items": items})

	return encoded, errors.Trace(err)
}

// PlatformResult is the result of an item in the answer.
type PlatformResult struct {
	ID     string `json:"id"`
	State  string `json:"state"`
	Output string `json:"output"`
}

// PlatformResultsPath returns the path of a job's results from a position on.
func PlatformResultsPath(job string, after int) string {
	return fmt.Sprintf("%s%s?after=%d", platformJobsPath, job, after)
}

// DecodePlatformResults decodes the answer to a request for a job's results.
func DecodePlatformResults(body io.Reader) ([]PlatformResult, error) {
	answer := struct {
		Results []PlatformResult `json:"results"`
	}{}
	err := json.NewDecoder(body).Decode(&answer)

	return answer.Results, errors.Trace(err)
}

// PlatformOutput returns the output of an item whose events have these texts.
func PlatformOutput(texts []string) string {
	return strings.Join(texts, "\n")
}
