package admitter

import (
	"time"

	"limpetrail/classifier"
)

// waiter is a request in one of the queues.
type waiter struct {
	request PlaceRequest
	// expiry is when the request stops waiting.
	expiry time.Time
	// decided is closed when the waiter has left its queue; place and refusal
	// do not change afterwards.
	decided chan struct{}
	place   *adaptivePlace
	refusal classifier.Outcome
}

func newWaiter(request PlaceRequest, expiry time.Time) *waiter {
	return &waiter{request: request, expiry: expiry, decided: make(chan struct{})}
}

// compareDue orders batch items: the earliest due time first, those without one
// last.
func compareDue(left, right *waiter) int {
	switch {
	case left.request.Due.IsZero() && right.request.Due.IsZero():
		return 0
	case left.request.Due.IsZero():
		return 1
	case right.request.Due.IsZero():
		return -1
	default:
		return left.request.Due.Compare(right.request.Due)
	}
}
