package forwarder

import (
	"time"

	"github.com/sirupsen/logrus"
)

// stoppingRetryAfter is when a caller may try again whose call came during a stop. Other instances
// serve it at once.
const stoppingRetryAfter = 100 * time.Millisecond

// admit returns false and the result of a call that came during a stop and may not end within it.
// Repeatable calls are taken as long as load balancers send them, as most end in time.
func (forwarder *Forwarder) admit(call *Call) (Result, bool) {
	left, stopping := forwarder.Stopper.TimeLeft()
	lagOver := forwarder.Stopper.IsLagOver()

	if !stopping || call.Route.Repeatable() && !lagOver {
		return Result{}, true
	}

	expected := time.Until(call.Deadline)

	longest, known := forwarder.durations.find(call.Route.Name)
	if known {
		expected = min(expected, longest)
	}

	if expected <= left {
		return Result{}, true
	}

	forwarder.log(call, logrus.Fields{
		"TimeLeft": left, "LagOver": lagOver, "Longest": longest, "Allowed": time.Until(call.Deadline), "RetryAfter": stoppingRetryAfter,
	}).Info("Request refused: it may not end before this instance stops.")

	return Result{Outcome: Refused, RetryAfter: stoppingRetryAfter, Reason: "This instance stops."}, false
}

// recordDuration records how long a call of the route took, if it went on for as long as it needed.
func (forwarder *Forwarder) recordDuration(call *Call, result Result, startedAt time.Time) {
	if result.Outcome == Answered || result.Outcome == TimedOut {
		now := time.Now()
		forwarder.durations.record(call.Route.Name, now.Sub(startedAt), now)
	}
}

// resultAfterStop returns the result of a call that ran until the end of a stop.
func (delivery *delivery) resultAfterStop() Result {
	switch {
	case delivery.headSent:
		return Result{Outcome: Broken, Reason: "This instance stops."}
	case delivery.attempts == 0:
		return Result{Outcome: Refused, RetryAfter: stoppingRetryAfter, Reason: "This instance stops."}
	default:
		return Result{Outcome: Failed, Reason: "This instance stops before the answer has arrived."}
	}
}
