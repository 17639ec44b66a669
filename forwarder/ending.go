package forwarder

import (
	"context"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"limpetrail/placer"
	"limpetrail/quarantiner"
	"limpetrail/stopper"
)

// resultOfBlock returns the result of a call that must not be sent, as it or a part of its prompt
// ends backend servers.
func (delivery *delivery) resultOfBlock(block quarantiner.Block) Result {
	delivery.forwarder.log(delivery.call, logrus.Fields{
		"PromptPart": block.Subject.Part, "Fingerprint": block.Subject.Fingerprint, "RetryAfter": block.RetryAfter, "Sent": delivery.attempts,
	}).Info("Request is kept away from backend servers: it or a part of its prompt is quarantined.")

	const reason = "The request or a part of its prompt ends backend servers."

	switch {
	case delivery.headSent:
		return Result{Outcome: Broken, Reason: reason}
	case delivery.attempts > 0:
		return Result{Outcome: Failed, Reason: reason}
	default:
		return Result{Outcome: Refused, RetryAfter: block.RetryAfter, Reason: reason}
	}
}

// resultWithoutPlace returns the result of a call that got no place. The call has not
// run unless an earlier attempt may have.
func (delivery *delivery) resultWithoutPlace(ctx context.Context, decision placer.Decision) Result {
	delivery.forwarder.log(delivery.call, logrus.Fields{
		"Verdict": decision.Verdict.String(), "Forecast": decision.ExpectedWait, "Queued": decision.QueuedAhead,
		"Free": decision.FreePlaces, "Waited": decision.Waited, "RetryAfter": decision.RetryAfter, "Spent": delivery.spentBefore, "Sent": delivery.attempts,
	}).Info("No place for a request.")

	switch {
	case delivery.headSent:
		return Result{Outcome: Broken, Reason: "No backend server can continue the answer."}
	case delivery.attempts > 0:
		return Result{Outcome: Failed, Reason: "No backend server is left to ask."}
	case ctx.Err() != nil:
		// The call was never sent; resultAfterContextEnd tells whether the caller
		// disconnected or the time ended.
		return Result{Outcome: Refused, RetryAfter: decision.RetryAfter, Reason: "Its time ended in the queue."}
	default:
		return Result{Outcome: Refused, RetryAfter: decision.RetryAfter, Reason: "No place is free in time."}
	}
}

// finish adds the totals of the call to its result.
func (delivery *delivery) finish(ctx context.Context, result Result) Result {
	if ctx.Err() != nil && result.Outcome != Answered {
		result = delivery.resultAfterContextEnd(ctx, result)
	}

	result.Status = delivery.status
	result.Attempts = delivery.attempts
	result.Events = delivery.eventCount
	result.TimeToFirstByte = delivery.timeToFirstByte
	result.QueueTime = delivery.queueTime
	result.BackendServer = delivery.serverID

	return result
}

// resultAfterContextEnd returns the result of a call whose caller disconnected, whose
// deadline passed or that ran until the end of a stop. It replaces the result of the attempt that this interrupted.
func (delivery *delivery) resultAfterContextEnd(ctx context.Context, result Result) Result {
	if errors.Is(context.Cause(ctx), stopper.ErrStopped) {
		return delivery.resultAfterStop()
	}

	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return Result{Outcome: Cancelled, Reason: "The caller disconnected."}
	}

	switch {
	case delivery.headSent:
		return Result{Outcome: Broken, Reason: "Its time ended."}
	case delivery.attempts == 0:
		return Result{Outcome: Refused, RetryAfter: result.RetryAfter, Reason: "Its time ended in the queue."}
	default:
		return Result{Outcome: TimedOut, Reason: "Its time ended."}
	}
}
