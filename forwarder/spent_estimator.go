package forwarder

import (
	"sync"
	"time"
)

const (
	// estimatePeriod is the length of a measuring period. The longest time seen counts
	// until the end of the period after it.
	estimatePeriod = time.Minute
	// maxRoutes bounds the routes that are remembered; at the bound all are forgotten.
	maxRoutes = 10000
)

// spentEstimator estimates how much of its time a caller had used up before its call
// arrived here. Callers of a route mostly start with the same total time, so one with
// less time remaining than the others has probably been refused before.
type spentEstimator struct {
	mutex  sync.Mutex
	routes map[string]longestTimes
}

// longestTimes is the longest remaining time of any caller of a route, in the current
// and in the previous period.
type longestTimes struct {
	current, previous time.Duration
	periodStart       time.Time
}

func newSpentEstimator() *spentEstimator {
	return &spentEstimator{routes: map[string]longestTimes{}}
}

// estimate returns the time that a caller of the route has probably used up, and
// records its remaining time for later estimates.
func (estimator *spentEstimator) estimate(route string, remaining time.Duration, now time.Time) time.Duration {
	estimator.mutex.Lock()
	defer estimator.mutex.Unlock()

	if len(estimator.routes) >= maxRoutes {
		clear(estimator.routes)
	}

	longest := estimator.routes[route]
	if now.Sub(longest.periodStart) > estimatePeriod {
		longest = longestTimes{previous: longest.current, periodStart: now}
	}

	longest.current = max(longest.current, remaining)
	estimator.routes[route] = longest

	return max(longest.current, longest.previous) - remaining
}
