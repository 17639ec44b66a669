package dispatcher

import (
	"context"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"limpetrail/classifier"
	"limpetrail/placer"
	"limpetrail/quarantiner"
	"limpetrail/recorder"
	"limpetrail/retrier"
	"limpetrail/router"
)

// maxAttemptsPerReplica bounds the attempts at one replica. Another one is made
// only if the last certainly did not run.
const maxAttemptsPerReplica = 2

// routedCall is a call with the state of its attempts.
type routedCall struct {
	*Dispatcher

	call   Call
	answer *answerWriter
	// quarantineRequest describes the call by what it has in common with others.
	quarantineRequest quarantiner.Request
	budget            *retrier.Budget
	// excluded names the replicas that were tried already.
	excluded []string
	// attempts counts all attempts, budgetedAttempts those that cost a replica
	// work and so count against the retry limits.
	attempts         int
	budgetedAttempts int
	// serverEnds counts the backend servers that ended before they began to answer.
	serverEnds int
	// mayHaveRun is set once an attempt may have run, and stays set whatever the
	// later ones return.
	mayHaveRun bool
}

// result is the end of one attempt.
type result struct {
	classifier.Outcome
	// costFree means that the attempt cost its replica no work, so that a retry
	// does not multiply the load.
	costFree bool
	// retrySameReplica means that the same replica may be tried again at once.
	retrySameReplica bool
	// serverEnded means that the backend server ended before it began to answer.
	serverEnded bool
	// final means that no other attempt may follow.
	final bool
	// health is the attempt's result for the router's outlier detection.
	health router.Result
}

// maxServerEnds is how many backend servers may end under one call. The first may have ended
// by itself.
const maxServerEnds = 2

// run tries one replica after the other until the call is answered or may not be
// retried.
func (routed *routedCall) run(ctx context.Context) classifier.Outcome {
	if block, blocked := routed.Quarantiner.Check(routed.quarantineRequest); blocked {
		return routed.blockedOutcome(block)
	}

	outcome := classifier.NewNotRun("no replica serves "+routed.call.Service+" now", retrier.AddJitter(routed.Settings.RetryAfter))

	for routed.attempts < routed.Settings.Moves {
		replica, found := routed.Router.Pick(router.Criteria{
			Service:    routed.call.Service,
			PrefixKeys: routed.call.PrefixKeys,
			Exclude:    routed.excluded,
		})
		if !found {
			break
		}

		result := routed.tryReplica(ctx, replica)
		outcome = result.Outcome

		if outcome.Fate == classifier.Answered {
			routed.budget.RecordSuccess()

			return outcome
		}

		if refusal := routed.prepareRetry(ctx, result); refusal != "" {
			outcome.Reason += "; " + refusal

			break
		}

		routed.recordEvent(recorder.KindRetried, routed.call.ID, "After="+replica.Name, "Fate="+string(outcome.Fate), "Reason="+outcome.Reason)
	}

	if routed.mayHaveRun {
		outcome.Fate = classifier.MayHaveRun
	}

	return outcome
}

// tryReplica makes up to maxAttemptsPerReplica attempts at one replica. It repeats
// one only if that certainly did not run and a new request can succeed, as after
// a stale incarnation.
func (routed *routedCall) tryReplica(ctx context.Context, replica router.Replica) result {
	var last result

	for range maxAttemptsPerReplica {
		last = routed.runAttempt(ctx, replica)
		routed.attempts++

		if !last.retrySameReplica || ctx.Err() != nil {
			break
		}
	}

	routed.Router.RecordResult(replica.Name, last.health)
	routed.excluded = append(routed.excluded, replica.Name)
	routed.mayHaveRun = routed.mayHaveRun || last.Fate == classifier.MayHaveRun

	if last.serverEnded {
		routed.serverEnds++
	}

	return last
}

// newQuarantineRequest describes the call by the hashes of its prompt's leading blocks. Calls
// whose prompts begin alike share them, and a deeper one is the more specific.
func newQuarantineRequest(call Call) quarantiner.Request {
	parts := make([]string, 0, len(call.PrefixKeys))
	for _, key := range call.PrefixKeys {
		parts = append(parts, strconv.FormatUint(key, 16))
	}

	return quarantiner.Request{
		ID: call.ID, Service: call.Service, Parts: parts,
		Fingerprint: quarantiner.Fingerprint(call.Body, call.Firm, call.Workspace, call.Adapter, call.Path),
	}
}

func (routed *routedCall) blockedOutcome(block quarantiner.Block) classifier.Outcome {
	routed.Log.WithFields(logrus.Fields{
		"RequestID": routed.call.ID, "PromptPart": block.Subject.Part, "Fingerprint": block.Subject.Fingerprint, "RetryAfter": block.RetryAfter, "Sent": routed.attempts,
	}).Info("Request is kept away from backend servers: it or the beginning of its prompt is quarantined.")

	return classifier.NewNotRun("this request, or prompts that begin like its own, end backend servers", block.RetryAfter)
}

// runAttempt makes one attempt at the replica.
func (routed *routedCall) runAttempt(ctx context.Context, replica router.Replica) result {
	run, block, blocked := routed.Quarantiner.Start(routed.quarantineRequest, placer.Server{ID: replica.Name})
	if blocked {
		return result{Outcome: routed.blockedOutcome(block), final: true, health: router.ResultRefused}
	}
	defer run.Close()

	attempt := &attempt{
		Dispatcher:    routed.Dispatcher,
		run:           run,
		call:          routed.call,
		replica:       replica,
		id:            AttemptID(routed.attemptRequestID(), replica.Name),
		newConnection: routed.attempts > 0,
		answer:        routed.answer,
	}

	return attempt.send(ctx)
}

// attemptRequestID returns an ID that differs for each attempt, since a sidecar
// that revoked an ID refuses it for good.
func (routed *routedCall) attemptRequestID() string {
	if routed.attempts == 0 {
		return routed.call.ID
	}

	return routed.call.ID + "-" + strconv.Itoa(routed.attempts)
}

// prepareRetry waits for the backoff before the next replica and returns an empty
// string, or returns why the call may not be retried. A request that certainly did
// not run may always be retried, one that may have run only if it is idempotent.
// A retry after an attempt that cost a replica work needs the retry budget.
func (routed *routedCall) prepareRetry(ctx context.Context, last result) string {
	if last.final {
		return "it may not be tried elsewhere"
	}

	if ctx.Err() != nil {
		return "no time is left"
	}

	if last.Fate != classifier.NotRun && !routed.call.Idempotent {
		return "it may not be repeated"
	}

	if last.costFree {
		return ""
	}

	if routed.serverEnds >= maxServerEnds {
		return "it ended several backend servers"
	}

	routed.budgetedAttempts++
	if routed.budgetedAttempts >= routed.Settings.Attempts {
		return "all attempts failed"
	}

	if !routed.budget.AllowRetry() {
		return "too many requests fail to try it elsewhere"
	}

	backoff := retrier.Backoff{Base: routed.Settings.RetryPause, MaxPause: routed.Settings.RetryPauseLimit}
	pause := backoff.Pause(routed.budgetedAttempts - 1)

	if time.Until(routed.call.Deadline) <= pause {
		return "no time is left"
	}

	select {
	case <-time.After(pause):
		return ""
	case <-ctx.Done():
		return "the caller left"
	}
}
