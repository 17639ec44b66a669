package matcher

import "time"

// Share is a service's part of a route's requests.
type Share struct {
	Service string
	// Weight is relative to the other shares of the route.
	Weight float64
}

// Route says where requests of a host and a path prefix go, and how.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Target is the time to the answer, of streams to the first event.
	Target time.Duration
	// GapTarget is the longest pause between events of an answer in time.
	GapTarget time.Duration
	// Priority is 0 for the most urgent requests.
	Priority int
	// Shares has at least one service.
	Shares []Share
	// Attempts is the most backend servers that a request may be sent to.
	Attempts int
	// Resumable streams go on elsewhere after the last event that was passed on.
	Resumable bool
	// Completion is how long after its submission a job is due.
	Completion time.Duration
	// Expiry is how long after its submission an item may be given up.
	Expiry time.Duration
}

// Repeatable tells whether the route's requests may run more than once.
func (route *Route) Repeatable() bool {
	return route.Kind == Idempotent || route.Kind == Batch || route.Kind == Stream && route.Resumable
}

// Pick returns the service at a point of the route's shares, 0 up to 1.
func (route *Route) Pick(point float64) string {
	total := 0.0
	for _, share := range route.Shares {
		total += share.Weight
	}

	point *= total

	for _, share := range route.Shares {
		if point < share.Weight {
			return share.Service
		}

		point -= share.Weight
	}

	return route.Shares[len(route.Shares)-1].Service
}
