package matcher

import "time"

// Share is the part of a route's requests that goes to a service.
type Share struct {
	Service string
	// Weight is relative to the other shares of the route.
	Weight float64
}

// Route determines which services the requests to a host and path prefix go to, and
// with which limits.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds how long a caller waits for the whole answer.
	Timeout time.Duration
	// LatencyTarget is the target for the time to the answer, or to the first event of
	// a stream.
	LatencyTarget time.Duration
	// EventGapTarget is the target for the longest gap between two events of a
	// stream.
	EventGapTarget time.Duration
	// Priority is 0 for the most urgent requests.
	Priority int
	// Shares has at least one service.
	Shares []Share
	// AttemptLimit is the maximum number of attempts to send a request to a backend
	// server.
	AttemptLimit int
	// Resumable streams can be continued by another backend server after the last event
	// that was sent to the caller.
	Resumable bool
	// CompletionTarget is the time from a job's submission until it is due.
	CompletionTarget time.Duration
	// Expiry is the time from a job's submission until its unfinished items may be given
	// up.
	Expiry time.Duration
	// KeyExempt routes serve requests without a key.
	KeyExempt bool
}

// Repeatable reports whether the route's requests may run more than once.
func (route *Route) Repeatable() bool {
	return route.Kind == Idempotent || route.Kind == Batch || route.Kind == Stream && route.Resumable
}

// PickService returns the service at a point from 0 up to 1 of the route's shares,
// which are laid end to end in proportion to their weights.
func (route *Route) PickService(point float64) string {
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
