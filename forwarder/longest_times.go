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

// longestTimes remembers the longest time of each route.
type longestTimes struct {
	mutex  sync.Mutex
	routes map[string]longestTime
}

// longestTime is the longest time of a route in the current and in the previous period.
type longestTime struct {
	current, previous time.Duration
	periodStart       time.Time
}

func newLongestTimes() *longestTimes {
	return &longestTimes{routes: map[string]longestTime{}}
}

// record adds a time of the route and returns the longest.
func (times *longestTimes) record(route string, added time.Duration, now time.Time) time.Duration {
	times.mutex.Lock()
	defer times.mutex.Unlock()

	if len(times.routes) >= maxRoutes {
		clear(times.routes)
	}

	longest := times.routes[route]
	if now.Sub(longest.periodStart) > estimatePeriod {
		longest = longestTime{previous: longest.current, periodStart: now}
	}

	longest.current = max(longest.current, added)
	times.routes[route] = longest

	return max(longest.current, longest.previous)
}

// find returns the longest time of the route, and false if none is known.
func (times *longestTimes) find(route string) (time.Duration, bool) {
	times.mutex.Lock()
	defer times.mutex.Unlock()

	longest, found := times.routes[route]

	return max(longest.current, longest.previous), found
}
