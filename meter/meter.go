// Package meter collects a process's metrics with tally and shows them to
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

// Meter owns the root scope of one process.
type Meter struct {
	Scope  tally.Scope
	Closer io.Closer

	reporter prometheus.Reporter
}

// NewMeter returns a meter whose metrics carry the instance's name and data
// centre as tags.
func NewMeter(instance, dataCentre string) *Meter {
	// A registry of its own lets several meters live in one process.
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "limpetrail",
		Tags:                   map[string]string{"instance": instance, "data_centre": dataCentre},
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        sanitizer(),
		OmitCardinalityMetrics: true,
	}, reportInterval)

	return &Meter{Scope: scope, Closer: closer, reporter: reporter}
}

// sanitizer replaces what Prometheus does not allow in names. Values are left
// as they are, since they are the names of instances and data centres.
func sanitizer() *tally.SanitizeOptions {
	options := prometheus.DefaultSanitizerOpts
	options.ValueCharacters = tally.ValidCharacters{Ranges: []tally.SanitizeRange{{' ', '~'}}}

	return &options
}

// Register adds the metrics page to a mux.
func (meter *Meter) Register(mux *http.ServeMux) {
	mux.Handle("GET /metrics", meter.reporter.HTTPHandler())
}
