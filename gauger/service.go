package gauger

import (
	"slices"
	"time"
)

// minSlopeShare is the least growth of the expected first event with each running request, as a
// share of its time at an idle server. Where a further request hardly delays the first event,
// servers of all paces still share the load.
const minSlopeShare = 0.25

// unreported is up to how many requests may run at a server that reports do not tell of yet.
// Without them, entries whose reports are older than a burst send to the same fast servers until
// these are full.
const unreported = 5

// service holds the times of a service's server of the median pace, in microseconds, by the
// number of running requests from 1 on. The times never fall with that number.
type service struct {
	gauges       []*Gauge
	gaps, firsts []float64
	// meanRun is the mean run time of complete responses, in microseconds.
	meanRun float64
	// placements holds the placementTimes of a server of the median pace.
	placements  [maxBins]float64
	first, gap  target
	refreshedAt time.Time
}

// gapAt returns the gap with a number of running requests; 0 if it is not known.
func (service *service) gapAt(running int) float64 {
	return timeAt(service.gaps, running)
}

// firstAt returns the time to the first event; 0 if it is not known.
func (service *service) firstAt(running int) float64 {
	return timeAt(service.firsts, running)
}

func timeAt(times []float64, running int) float64 {
	if len(times) == 0 {
		return 0
	}

	return times[min(max(1, running), len(times))-1]
}

// limit returns the highest expected time that meets a target. A target that an idle server of
// the median pace misses limits nothing, as fewer requests would not help.
func (service *service) limit(target target, idle float64) float64 {
	limit := headroom * float64(target.value.Microseconds())
	if limit == 0 || idle > limit {
		return maxSampleTime.Seconds() * 1e6
	}

	return limit
}

// placementTimes returns when the first event of a further request is expected at a server, by the
// number of requests that are known to run there, given the times by the number that do run. A
// request that finds no place waits for a part of a run.
func (service *service) placementTimes(places int, pace float64, firstAt func(running int) float64) [maxBins]float64 {
	slope, queued := pace*minSlopeShare*service.firstAt(1), pace*service.meanRun/float64(places)
	exact, highest := [maxBins + unreported]float64{}, 0.0

	for running := range exact[:places+unreported] {
		if running < places {
			highest = max(highest+slope, firstAt(running+1))
		} else {
			highest += max(slope, queued)
		}

		exact[running] = highest
	}

	times := [maxBins]float64{}

	for running := range places {
		for further := range unreported + 1 {
			times[running] += exact[running+further] / (unreported + 1)
		}
	}

	return times
}

// loadOf returns how many requests run at a server of the median pace where a first event is
// expected after a time.
func (service *service) loadOf(expected float64) float64 {
	last := len(service.firsts) - 1

	for running := 1; running <= last; running++ {
		if before, after := service.placements[running-1], service.placements[running]; expected < after || running == last {
			return float64(running-1) + (expected-before)/(after-before)
		}
	}

	return 0
}

// refreshInterval is the shortest time between two refreshes of a service's estimates. With a
// thousand servers, one takes as long as several placements.
const refreshInterval = 100 * time.Millisecond

func (service *service) refreshIfDue(now time.Time) {
	if now.Sub(service.refreshedAt) >= refreshInterval {
		service.refresh(now)
	}
}

// refresh learns from the measures up to now: the times at the median pace follow from the paces
// of the servers, and the paces from these times.
func (service *service) refresh(now time.Time) {
	passed := now.Sub(service.refreshedAt)
	service.refreshedAt = now

	if !service.sumUp(passed) {
		return
	}

	for _, gauge := range service.gauges {
		gauge.updatePace()
	}

	service.normalize()
	service.placements = service.placementTimes(len(service.firsts), 1, service.firstAt)

	for _, gauge := range service.gauges {
		gauge.update(now)
	}
}

// sumUp sets the times at the median pace, and reports whether anything was measured.
func (service *service) sumUp(passed time.Duration) bool {
	bins, runs := 0, tally{}
	for _, gauge := range service.gauges {
		gauge.decay(passed)
		runs.add(gauge.runs.sum, gauge.runs.weight, maxRuns)
		bins = max(bins, len(gauge.bins))
	}

	if runs.weight >= 1 {
		service.meanRun = runs.sum / runs.weight
	}

	gaps, firsts := make([]tally, bins), make([]tally, bins)

	for _, gauge := range service.gauges {
		for index := range gauge.bins {
			bin := &gauge.bins[index]
			gaps[index].sum += bin.gaps.sum / gauge.steadyPace
			gaps[index].weight += bin.gaps.weight
			firsts[index].sum += bin.firsts.sum / gauge.steadyPace
			firsts[index].weight += bin.firsts.weight
		}
	}

	service.gaps, service.firsts = rising(gaps, service.gaps, priorEvents), rising(firsts, service.firsts, priorFirsts)

	return service.gapAt(1) > 0
}

// rising returns the means, each at least as high as the one before. The previous ones have the
// weight of a prior.
func rising(tallies []tally, previous []float64, priorWeight float64) []float64 {
	times, highest := make([]float64, len(tallies)), 0.0

	for index, tally := range tallies {
		prior := timeAt(previous, index+1)

		switch {
		case prior > 0:
			highest = max(highest, tally.mean(prior, priorWeight))
		case tally.weight >= 1:
			highest = max(highest, tally.sum/tally.weight)
		}

		times[index] = highest
	}

	// Numbers below the lowest that was seen have its time.
	for index := len(times) - 2; index >= 0; index-- {
		if times[index] == 0 {
			times[index] = times[index+1]
		}
	}

	return times
}

// normalize scales the times and paces so that the median pace of the servers that were measured
// is 1.
func (service *service) normalize() {
	paces := make([]float64, 0, len(service.gauges))

	for _, gauge := range service.gauges {
		weight := 0.0
		for index := range gauge.bins {
			weight += gauge.bins[index].gaps.weight
		}

		if weight >= 1 {
			paces = append(paces, gauge.steadyPace)
		}
	}

	if len(paces) == 0 {
		return
	}

	slices.Sort(paces)
	median := paces[len(paces)/2]

	for index := range service.gaps {
		service.gaps[index] *= median
	}

	for index := range service.firsts {
		service.firsts[index] *= median
	}

	for _, gauge := range service.gauges {
		gauge.steadyPace /= median
	}
}
