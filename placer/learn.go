package placer

import (
	"time"

	"limpetrail/gauger"
)

// Option changes a new placer.
type Option func(*Placer)

// WithGauger has the placer learn how much load each server handles well. Without it, listed
// places and equal servers are assumed.
func WithGauger(learned *gauger.Gauger) Option {
	return func(placer *Placer) { placer.gauger = learned }
}

// Events are events of a response that arrived together.
type Events struct {
	Count   int
	Targets gauger.Targets
	// ArrivedAt is when they arrived, HandledAt when they had been passed on to the caller.
	ArrivedAt, HandledAt time.Time
}

// ObserveEvents records events of the response to online work.
func (grant *Grant) ObserveEvents(events Events) {
	if grant.run == nil {
		return
	}

	grant.placer.mutex.Lock()
	defer grant.placer.mutex.Unlock()

	server := grant.placer.servers[grant.Server.ID]
	if server == nil || server.Incarnation != grant.Server.Incarnation {
		return
	}

	grant.run.AddEvents(events.Count, server.total(), events.Targets, events.ArrivedAt, events.HandledAt)
}

// startMeasuring begins the measures of online work that was just granted. The mutex is held.
func (grant *Grant) startMeasuring(server *serverState) {
	if server.gauge == nil || grant.Batch {
		return
	}

	grant.run = gauger.NewRun(server.gauge, server.total(), grant.grantedAt)
}

// completeMeasuring counts the measures of a complete response.
func (grant *Grant) completeMeasuring() {
	if grant.run == nil {
		return
	}

	grant.placer.mutex.Lock()
	defer grant.placer.mutex.Unlock()

	grant.run.Complete(time.Now())
}

// Measures returns what was measured here since the last report; nil if nothing is learned.
func (placer *Placer) Measures() []gauger.Measure {
	if placer.gauger == nil {
		return nil
	}

	placer.mutex.Lock()
	defer placer.mutex.Unlock()

	return placer.gauger.Share(len(placer.reports), time.Now())
}

// ApplyMeasures applies what another entry measured.
func (placer *Placer) ApplyMeasures(measures []gauger.Measure) {
	if placer.gauger == nil || len(measures) == 0 {
		return
	}

	placer.mutex.Lock()
	defer placer.mutex.Unlock()

	placer.gauger.Apply(measures, time.Now())
}

// assignGauges gives the listed servers their gauges. The mutex is held.
func (placer *Placer) assignGauges() {
	if placer.gauger == nil {
		return
	}

	listed := make([]gauger.Server, 0, len(placer.servers))
	for _, server := range placer.servers {
		listed = append(listed, gauger.Server{Start: startOf(server), Service: server.Service, Places: server.Places})
	}

	placer.gauger.SetServers(listed)

	for _, server := range placer.servers {
		server.gauge = placer.gauger.Gauge(startOf(server))
	}
}

func startOf(server *serverState) gauger.Start {
	return gauger.Start{ID: server.ID, Incarnation: server.Incarnation}
}

// refreshGauges updates the estimates of a service. The mutex is held.
func (placer *Placer) refreshGauges(name string, service *service, now time.Time) {
	if placer.gauger == nil {
		return
	}

	placer.gauger.Refresh(name, now)

	if learned := placer.gauger.MeanRun(name); learned > 0 {
		service.meanRun, service.runLearned = learned, true
	}
}

// expectedRun returns the expected length of a run.
func (service *service) expectedRun(grant *Grant) time.Duration {
	if grant.run == nil {
		return service.meanRun
	}

	return time.Duration(float64(service.meanRun) * grant.run.Pace())
}

// places returns up to how many requests may run at the server.
func (server *serverState) places() int {
	if server.gauge == nil {
		return server.Places
	}

	return server.gauge.LearnedPlaces()
}

// load returns how many requests run at a usual server where the first event of a further one is
// expected as late as here.
func (server *serverState) load() float64 {
	if server.gauge == nil {
		return float64(server.total())
	}

	return server.gauge.Load(server.total())
}
