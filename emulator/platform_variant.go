package emulator

import (
	"encoding/json"
	"fmt"

	"github.com/juju/errors"
)

// PlatformVariant is what varies between versions of a configuration with several services. Streams of
// the prefix /stream/ may be resumed; /plain/ has idempotent requests, /act/ has others, and /batch/
// has jobs on the service "model".
type PlatformVariant struct {
	// StreamService serves /stream/, and SplitService the requests below /stream/split/; empty while
	// the route is not split.
	StreamService string
	SplitService  string
	// Added is true while there is a route /added/ with streams.
	Added        bool
	TimeoutMs    int
	MaxAttempts  int
	IdleMs       int
	HeaderMs     int
	MaxBodyBytes int
}

type platformRoute struct {
	Name               string `json:"name"`
	Host               string `json:"host"`
	Prefix             string `json:"prefix"`
	Kind               string `json:"kind"`
	Service            string `json:"service"`
	TimeoutMs          int    `json:"timeoutMs,omitempty"`
	MaxAttempts        int    `json:"maxAttempts"`
	TargetLatencyMs    int    `json:"targetLatencyMs"`
	Resumable          bool   `json:"resumable,omitempty"`
	GapAimMs           int    `json:"gapAimMs,omitempty"`
	CompletionTargetMs int    `json:"completionTargetMs,omitempty"`
	ExpiryS            int    `json:"expiryS,omitempty"`
}

// Document returns the configuration with a version.
func (variant PlatformVariant) Document(version int) ([]byte, error) {
	streams := func(name, prefix, service string) platformRoute {
		return platformRoute{Name: name, Host: "host.example", Prefix: prefix, Kind: "streaming", Service: service, TimeoutMs: variant.TimeoutMs, MaxAttempts: variant.MaxAttempts, TargetLatencyMs: 300, Resumable: true, GapAimMs: 250}
	}
	whole := func(kind, prefix string, attempts int) platformRoute {
		return platformRoute{Name: kind, Host: "host.example", Prefix: prefix, Kind: kind, Service: "plain", TimeoutMs: variant.TimeoutMs, MaxAttempts: attempts, TargetLatencyMs: 300}
	}

	routes := []platformRoute{
		streams("stream", "/stream/", variant.StreamService), whole("idempotent", "/plain/", variant.MaxAttempts), whole("non_idempotent", "/act/", 1),
		{Name: "batch", Host: "host.example", Prefix: "/batch/", Kind: "batch", Service: "model", MaxAttempts: 3, TargetLatencyMs: 400, CompletionTargetMs: 18000, ExpiryS: 60},
		streams(fmt.Sprintf("version-%d", version), fmt.Sprintf("/version-%d/", version), variant.StreamService),
	}
	if variant.SplitService != "" {
		routes = append(routes, streams("split", "/stream/split/", variant.SplitService))
	}

	if variant.Added {
		routes = append(routes, streams("added", "/added/", variant.StreamService))
	}

	services := []map[string]string{}
	for _, name := range []string{"model", "plain", "streams-a", "streams-b"} {
		services = append(services, map[string]string{"name": name, "healthPath": "/healthz"})
	}

	document, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]int{"maxBodyBytes": variant.MaxBodyBytes, "headerTimeoutMs": variant.HeaderMs, "idleTimeoutMs": variant.IdleMs},
	})

	return document, errors.Trace(err)
}
