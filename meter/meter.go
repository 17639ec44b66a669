// Package meter collects a process's metrics with tally and exposes them to
// Prometheus.
package meter

import (
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

const reportInterval = time.Second

// Meter holds the root metrics scope of one process.
type Meter struct {
	Scope  tally.Scope
	Closer io.Closer

	reporter prometheus.Reporter
}

// NewMeter returns a meter whose metrics carry the instance's name and data
// centre as tags.
func NewMeter(instance, dataCentre string) *Meter {
	// Each meter has its own registry, so that one process can have several meters.
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "limpetrail",
		Tags:                   map[string]string{"instance": instance, "data_centre": dataCentre},
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        sanitizeOptions(),
		OmitCardinalityMetrics: true,
	}, reportInterval)

	return &Meter{Scope: scope, Closer: closer, reporter: reporter}
}

// sanitizeOptions replaces characters that Prometheus does not allow in names.
// Tag values stay unchanged, because they are the names of instances and data
// centres.
func sanitizeOptions() *tally.SanitizeOptions {
	options := prometheus.DefaultSanitizerOpts
	options.ValueCharacters = tally.ValidCharacters{Ranges: []tally.SanitizeRange{{' ', '~'}}}

	return &options
}

// Register adds the Prometheus endpoint, GET /metrics, to the mux.
func (meter *Meter) Register(mux *http.ServeMux) {
	mux.Handle("GET /metrics", meter.reporter.HTTPHandler())
}
