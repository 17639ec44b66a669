package gauger

import "time"

const (
	// slowWrite is how long passing on an event may take for the gap to the next one to count.
	// Behind a slow reader, gaps show the reader and not the server.
	slowWrite = 10 * time.Millisecond
	// suddenGap times the expected gap makes a gap count before the response is complete, so that
	// a slowdown of half a second is known before it is over.
	suddenGap = 1.5
)

// Run holds the measures of a request that runs at a server. Those that don't show a slow server
// count when the response is complete, so that a server which fails fast never looks fast.
type Run struct {
	gauge   *Gauge
	startAt time.Time
	// lastAt is when the last event arrived; zero before the first, or if the next gap does not
	// count.
	lastAt time.Time
	// running is how many requests ran at the server at the last event, or at the start.
	running int
	begun   bool
	// complete is set once the measures have been counted.
	complete bool
	samples  []Sample
}

// NewRun returns a run of a request that is sent now, with which a number of requests run at the
// server.
func NewRun(gauge *Gauge, running int, now time.Time) *Run {
	return &Run{gauge: gauge, running: running, startAt: now}
}

// Pace returns the pace of the server.
func (run *Run) Pace() float64 {
	return run.gauge.Pace()
}

// AddEvents adds events that arrived together while a number of requests ran at the server, and
// were passed on at handledAt.
func (run *Run) AddEvents(count, running int, targets Targets, arrivedAt, handledAt time.Time) {
	if run.complete || count == 0 {
		return
	}

	// Refreshes before new measures are added, which would otherwise lose the weight of the time
	// since the last placement.
	run.gauge.service.refreshIfDue(arrivedAt)
	run.gauge.service.first.see(targets.FirstEvent, arrivedAt)
	run.gauge.service.gap.see(targets.EventGap, arrivedAt)

	// A request that ended or started in between has slowed the event down all the same.
	most := max(run.running, running)

	switch {
	case !run.begun:
		run.add(Sample{Running: most, Firsts: 1, FirstMicros: arrivedAt.Sub(run.startAt).Microseconds()}, arrivedAt)
	case !run.lastAt.IsZero():
		run.add(Sample{Running: most, Events: count, GapMicros: arrivedAt.Sub(run.lastAt).Microseconds()}, arrivedAt)
	}

	run.begun, run.lastAt, run.running = true, arrivedAt, running
	if handledAt.Sub(arrivedAt) > slowWrite {
		run.lastAt = time.Time{}
	}
}

func (run *Run) add(added Sample, now time.Time) {
	if expected := run.gauge.expectedGap(added.Running); expected > 0 && float64(added.GapMicros) > suddenGap*expected*float64(added.Events) && added.Events > 0 {
		run.gauge.record(added, now)

		return
	}

	for index := range run.samples {
		if run.samples[index].Running == added.Running {
			run.samples[index].add(added)

			return
		}
	}

	run.samples = append(run.samples, added)
}

// Complete counts the measures of a complete response.
func (run *Run) Complete(now time.Time) {
	if run.complete {
		return
	}

	run.complete = true

	for _, sample := range run.samples {
		run.gauge.record(sample, now)
	}

	run.gauge.recordRun(now.Sub(run.startAt), now)
}
