package admitter

import (
	"time"

	"limpetrail/classifier"
)

// waiter is a ticket in one of the queues.
type waiter struct {
	ticket Ticket
	// expiry is when the ticket no longer waits.
	expiry time.Time
	// settled is closed when the waiter has left its queue; place and refusal
	// do not change afterwards.
	settled chan struct{}
	place   *adaptivePlace
	refusal classifier.Outcome
}

func newWaiter(ticket Ticket, expiry time.Time) *waiter {
	return &waiter{ticket: ticket, expiry: expiry, settled: make(chan struct{})}
}

// compareDue orders batch tickets: the earliest due time first, jobs without
// one last.
func compareDue(left, right *waiter) int {
	switch {
	case left.ticket.Due.IsZero() && right.ticket.Due.IsZero():
		return 0
	case left.ticket.Due.IsZero():
		return 1
	case right.ticket.Due.IsZero():
		return -1
	default:
		return left.ticket.Due.Compare(right.ticket.Due)
	}
}
