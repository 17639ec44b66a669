package gauger

import (
	"math"
	"time"
)

const (
	// estimateLifetime is the time constant with which measures lose their weight.
	estimateLifetime = 4 * time.Second
	// recentLifetime is the time constant of the recent pace. Slowdowns last half a second.
	recentLifetime = 400 * time.Millisecond
	// maxEvents and maxFirsts bound the weight of a mean, so that one of many events is also
	// forgotten within a few estimateLifetime.
	maxEvents, maxFirsts, maxRuns = 64.0, 24.0, 64.0
	// priorEvents and priorFirsts are the weights of what is expected from other servers.
	priorEvents, priorFirsts = 8.0, 4.0
	// headroom is the share of a target that a mean may reach: single events are later.
	headroom = 0.8
	// minRateShare is the least share of its highest rate of events to which a server may fall by
	// one more request. A server that falls further does less although its targets may be met.
	minRateShare = 0.75
	// growthPause is the time between two steps of one place upwards, in which a few events
	// arrive that show whether the last step was too much.
	growthPause = 500 * time.Millisecond
	// maxBins bounds the numbers of running requests that are told apart. With the number of places,
	// an offset for each fills a line of the processor's cache.
	maxBins = 56
	// offsetUnits is how many units of an offset make a request.
	offsetUnits = 16
)

// maxAdvantage and maxPenalty bound the difference between the load of a server and the number of
// its running requests. In replays with reports of 50 ms, wider bounds kept the fast servers at
// their last place, where requests that reports do not tell of yet collide: at an advantage of 1.5
// four times as many responses were late in a large fleet, and without a bound on the penalty 13 to
// 35 in a hundred fewer came in time at servers that slow down from half of their places on.
const (
	maxAdvantage = 0.5
	maxPenalty   = 1.0
	// latePenalty is for a server that misses the targets even with a single request.
	latePenalty = 4.0
)

// Start is one start of a backend server.
type Start struct {
	ID          string
	Incarnation int64
}

// Server is a start of a backend server as it is listed.
type Server struct {
	Start
	Service string
	// Places is the listed number of places, the upper bound of the learned ones.
	Places int
}

// Gauge is what was learned of a start of a server.
type Gauge struct {
	// A placement reads the first two fields of all servers.

	places int
	// offsets holds what is added to the number of running requests, from 0 on, to get the load.
	offsets [maxBins]int8

	Server
	service *service
	// bins holds the times by the number of running requests, from 1 on.
	bins []bin
	// runs holds the run times of complete responses, in microseconds.
	runs tally
	// recent holds the latest gaps as multiples of the service's.
	recent tally
	// steadyPace is the pace without the recent one.
	steadyPace, pace float64
	grownAt          time.Time
	// missesTargets is set if the targets are not expected to be met even with a single request.
	missesTargets bool
	// The pending fields are not yet shared; deviation sums up how much they deviate from what
	// was expected.
	pendingRuns      int
	pendingRunMicros int64
	deviation        float64
	// pendingSince is when the first of the pending measures was made; zero if there is none.
	pendingSince time.Time
}

// bin holds the times, in microseconds, while a number of requests ran.
type bin struct {
	gaps, firsts tally
	pending      Sample
}

func newGauge(server Server, service *service) *Gauge {
	gauge := &Gauge{
		Server: server, service: service, bins: make([]bin, min(max(1, server.Places), maxBins)), places: server.Places, steadyPace: 1, pace: 1,
	}
	gauge.forgetPending()

	return gauge
}

// LearnedPlaces returns up to how many running requests the targets are expected to be met.
func (gauge *Gauge) LearnedPlaces() int {
	return gauge.places
}

// Pace returns the server's time for a unit of work as a multiple of its service's median.
func (gauge *Gauge) Pace() float64 {
	return gauge.pace
}

// Load returns the number of requests that run at a server of the median pace where the first
// event of a further one is expected as late as at this server.
func (gauge *Gauge) Load(running int) float64 {
	return float64(running) + float64(gauge.offsets[min(max(0, running), maxBins-1)])/offsetUnits
}

// record adds a sample that was measured here.
func (gauge *Gauge) record(sample Sample, now time.Time) {
	gauge.startPending(now)

	// A server with more requests than places queues some, which the last place causes.
	sample.Running = min(max(1, sample.Running), len(gauge.bins))
	gauge.bins[sample.Running-1].pending.add(sample)

	if expected := gauge.expectedGap(sample.Running); expected > 0 {
		gauge.deviation += math.Abs(float64(sample.GapMicros)/expected - float64(sample.Events))
	}

	gauge.apply(sample)
}

func (gauge *Gauge) recordRun(length time.Duration, now time.Time) {
	gauge.startPending(now)

	gauge.pendingRuns++
	gauge.pendingRunMicros += length.Microseconds()
	gauge.runs.add(float64(length.Microseconds()), 1, maxRuns)
}

// apply adds a sample that was measured here or by a peer.
func (gauge *Gauge) apply(sample Sample) {
	if sample.Running < 1 || sample.Running > len(gauge.bins) {
		return
	}

	at := &gauge.bins[sample.Running-1]
	at.gaps.add(float64(sample.GapMicros), float64(sample.Events), maxEvents)
	at.firsts.add(float64(sample.FirstMicros), float64(sample.Firsts), maxFirsts)

	if reference := gauge.service.gapAt(sample.Running); reference > 0 {
		gauge.recent.add(float64(sample.GapMicros)/reference, float64(sample.Events), maxEvents)
	}
}

// expectedGap returns the gap in microseconds that is expected with a number of running
// requests; 0 if it is not known.
func (gauge *Gauge) expectedGap(running int) float64 {
	if running < 1 || running > len(gauge.bins) || gauge.service.gapAt(running) == 0 {
		return 0
	}

	return gauge.bins[running-1].gaps.mean(gauge.pace*gauge.service.gapAt(running), priorEvents)
}

// decay reduces the weight of all measures by the time that has passed.
func (gauge *Gauge) decay(passed time.Duration) {
	factor := math.Exp(-passed.Seconds() / estimateLifetime.Seconds())

	for index := range gauge.bins {
		gauge.bins[index].gaps.decay(factor)
		gauge.bins[index].firsts.decay(factor)
	}

	gauge.runs.decay(factor)
	gauge.recent.decay(math.Exp(-passed.Seconds() / recentLifetime.Seconds()))
}

// updatePace sets the pace without the recent one from the service's gaps.
func (gauge *Gauge) updatePace() {
	ratios := tally{}

	for index, bin := range gauge.bins {
		if reference := gauge.service.gapAt(index + 1); reference > 0 {
			ratios.add(bin.gaps.sum/reference, bin.gaps.weight, math.Inf(1))
		}
	}

	gauge.steadyPace = ratios.mean(1, priorEvents)
}

// update sets the pace, the places and the loads.
func (gauge *Gauge) update(now time.Time) {
	gauge.pace = gauge.recent.mean(gauge.steadyPace, priorEvents)
	gauge.updatePlaces(now)
	gauge.updateOffsets()
}

func (gauge *Gauge) updatePlaces(now time.Time) {
	service, allowed := gauge.service, 1
	gapLimit := service.limit(service.gap, service.gapAt(1))
	firstLimit := service.limit(service.first, service.firstAt(1))

	// Times with more requests are at least as long. The rate is in events a microsecond.
	gap, first := gauge.expectedGap(1), gauge.expectedFirst(1)
	highestRate := rateOf(1, gap)
	gauge.missesTargets = gap > gapLimit || first > firstLimit

	for running := 2; running <= len(gauge.bins); running++ {
		gap, first = max(gap, gauge.expectedGap(running)), max(first, gauge.expectedFirst(running))
		rate := rateOf(running, gap)

		if gap > gapLimit || first > firstLimit || rate < minRateShare*highestRate {
			break
		}

		allowed, highestRate = running, max(highestRate, rate)
	}

	if allowed == len(gauge.bins) {
		allowed = gauge.Places
	}

	switch {
	case allowed < gauge.places:
		gauge.places, gauge.grownAt = max(1, allowed), now
	case allowed > gauge.places && now.Sub(gauge.grownAt) >= growthPause:
		gauge.places, gauge.grownAt = gauge.places+1, now
	}
}

// rateOf returns the events of all running requests in a microsecond; 0 if the gap is not known.
func rateOf(running int, gap float64) float64 {
	if gap <= 0 {
		return 0
	}

	return float64(running) / gap
}

// expectedFirst returns the time to the first event in microseconds that is expected with a
// number of running requests; 0 if it is not known.
func (gauge *Gauge) expectedFirst(running int) float64 {
	return gauge.bins[running-1].firsts.mean(gauge.pace*gauge.service.firstAt(running), priorFirsts)
}

func (gauge *Gauge) updateOffsets() {
	if gauge.service.firstAt(1) == 0 {
		return
	}

	times := gauge.service.placementTimes(len(gauge.bins), gauge.pace, gauge.expectedFirst)
	for running := range gauge.offsets {
		known := min(running, len(gauge.bins)-1)
		offset := min(max(gauge.service.loadOf(times[known])-float64(known), -maxAdvantage), maxPenalty)

		if gauge.missesTargets {
			offset = latePenalty
		}

		gauge.offsets[running] = int8(offset * offsetUnits)
	}
}

func (gauge *Gauge) forgetPending() {
	gauge.pendingRuns, gauge.pendingRunMicros, gauge.deviation, gauge.pendingSince = 0, 0, 0, time.Time{}

	for index := range gauge.bins {
		gauge.bins[index].pending = Sample{Running: index + 1}
	}
}

// startPending notes that a measure is pending. Old ones are forgotten: they would count as new
// ones at a peer.
func (gauge *Gauge) startPending(now time.Time) {
	if now.Sub(gauge.pendingSince) > estimateLifetime {
		gauge.forgetPending()
		gauge.pendingSince = now
	}
}

// takeMeasure returns the pending samples of the largest weight and forgets all.
func (gauge *Gauge) takeMeasure() Measure {
	measure := Measure{ID: gauge.ID, Incarnation: gauge.Incarnation, Runs: gauge.pendingRuns, RunMicros: gauge.pendingRunMicros}

	for len(measure.Samples) < maxSamples {
		most := &gauge.bins[0]

		for index := range gauge.bins {
			if other := &gauge.bins[index]; other.pending.Events+other.pending.Firsts > most.pending.Events+most.pending.Firsts {
				most = other
			}
		}

		if most.pending.isEmpty() {
			break
		}

		measure.Samples = append(measure.Samples, most.pending)
		most.pending = Sample{}
	}

	gauge.forgetPending()

	return measure
}
