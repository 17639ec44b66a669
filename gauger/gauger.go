package gauger

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minShareInterval is the shortest time between two reports with measures.
	minShareInterval = 250 * time.Millisecond
	// shareIntervalPerPeer lets an entry of a large fleet receive at most 400 such reports a second.
	shareIntervalPerPeer = 2500 * time.Microsecond
)

// Gauger learns the capacity of the listed servers. Its methods and those of its gauges and runs
// must not be called concurrently.
type Gauger struct {
	gauges   map[Start]*Gauge
	services map[string]*service
	sharedAt time.Time
}

// NewGauger returns a gauger without servers.
func NewGauger() *Gauger {
	return &Gauger{gauges: map[Start]*Gauge{}, services: map[string]*service{}}
}

// SetServers replaces the list of servers. What was learned of a server is kept until it starts
// again, leaves the list, or is listed with another service or number of places.
func (gauger *Gauger) SetServers(servers []Server) {
	previous := gauger.gauges
	gauger.gauges = make(map[Start]*Gauge, len(servers))

	for _, service := range gauger.services {
		service.gauges = nil
	}

	for _, server := range servers {
		of := gauger.services[server.Service]
		if of == nil {
			of = &service{}
			gauger.services[server.Service] = of
		}

		gauge := previous[server.Start]
		if gauge == nil || gauge.Server != server {
			gauge = newGauge(server, of)
		}

		gauger.gauges[server.Start] = gauge
		of.gauges = append(of.gauges, gauge)
	}
}

// Gauge returns what was learned of a start of a server; nil if it is not listed.
func (gauger *Gauger) Gauge(start Start) *Gauge {
	return gauger.gauges[start]
}

// Refresh updates the estimates of a service, unless that was done a moment ago.
func (gauger *Gauger) Refresh(serviceName string, now time.Time) {
	if known := gauger.services[serviceName]; known != nil {
		known.refreshIfDue(now)
	}
}

// MeanRun returns the mean run time of the complete responses of a service; 0 if it is not known.
func (gauger *Gauger) MeanRun(serviceName string) time.Duration {
	known := gauger.services[serviceName]
	if known == nil {
		return 0
	}

	return time.Duration(known.meanRun) * time.Microsecond
}

// Share returns the measures for the next report: those that deviate most from what was expected
// first. It returns none if the last ones were shared a moment ago.
func (gauger *Gauger) Share(peers int, now time.Time) []Measure {
	if now.Sub(gauger.sharedAt) < max(minShareInterval, time.Duration(peers)*shareIntervalPerPeer) {
		return nil
	}

	pending := []*Gauge{}

	for _, gauge := range gauger.gauges {
		if now.Sub(gauge.pendingSince) <= estimateLifetime {
			pending = append(pending, gauge)
		}
	}

	slices.SortFunc(pending, func(a, b *Gauge) int {
		return cmp.Or(cmp.Compare(b.deviation, a.deviation), cmp.Compare(b.pendingRuns, a.pendingRuns), cmp.Compare(a.ID, b.ID))
	})

	measures := []Measure{}
	for _, gauge := range pending[:min(len(pending), maxMeasures)] {
		measures = append(measures, gauge.takeMeasure())
	}

	if len(measures) > 0 {
		gauger.sharedAt = now
	}

	return measures
}

// Apply adds the measures of a peer. Those of servers that are not listed here are ignored.
func (gauger *Gauger) Apply(measures []Measure, now time.Time) {
	for _, measure := range measures[:min(len(measures), maxMeasures)] {
		gauge := gauger.gauges[Start{ID: measure.ID, Incarnation: measure.Incarnation}]
		if gauge == nil || !isValidSum(measure.Runs, measure.RunMicros) {
			continue
		}

		// An entry without requests refreshes by measures alone.
		gauger.Refresh(gauge.Service, now)
		gauge.runs.add(float64(measure.RunMicros), float64(measure.Runs), maxRuns)

		for _, sample := range measure.Samples[:min(len(measure.Samples), maxSamples)] {
			if sample.isValid() {
				gauge.apply(sample)
			}
		}
	}
}
