package dispatcher

import (
	"context"
	"strconv"
	"time"

	"limpetrail/classifier"
	"limpetrail/recorder"
	"limpetrail/retrier"
	"limpetrail/router"
)

// maxRepeats is how often a request goes to the same replica again after it
// was certainly not run there.
const maxRepeats = 2

// journey is one call on its way over one or more attempts.
type journey struct {
	*Dispatcher

	call   Call
	answer *answer
	budget *retrier.Budget
	// excluded names the replicas that may not be tried any more.
	excluded []string
	// attempts counts all attempts, paid those that the retry budget counts.
	attempts int
	paid     int
	// mayHaveRun stays set whatever later attempts say.
	mayHaveRun bool
}

// result is the end of one attempt.
type result struct {
	classifier.Outcome
	// free means that the attempt cost its replica no work, so that another
	// one multiplies no load.
	free bool
	// repeat means that the same replica may be tried again.
	repeat bool
	// final means that no other attempt may follow.
	final bool
	// health is what the end says about the replica.
	health router.Result
}

// run tries replicas until the call is answered or given up.
func (journey *journey) run(ctx context.Context) classifier.Outcome {
	outcome := classifier.NewNotRun("no replica serves "+journey.call.Service+" now", retrier.AddJitter(journey.Settings.RetryAfter))

	for journey.attempts < journey.Settings.Moves {
		replica, found := journey.Router.Pick(router.Criteria{
			Service:    journey.call.Service,
			PrefixKeys: journey.call.PrefixKeys,
			Exclude:    journey.excluded,
		})
		if !found {
			break
		}

		result := journey.visit(ctx, replica)
		outcome = result.Outcome

		if outcome.Fate == classifier.Answered {
			journey.budget.RecordSuccess()

			return outcome
		}

		if refusal := journey.next(ctx, result); refusal != "" {
			outcome.Reason += "; " + refusal

			break
		}

		journey.event(recorder.KindRetried, journey.call.ID, "After="+replica.Name, "Fate="+string(outcome.Fate), "Reason="+outcome.Reason)
	}

	if journey.mayHaveRun {
		outcome.Fate = classifier.MayHaveRun
	}

	return outcome
}

// visit makes attempts at one replica, more than one only where the first
// certainly did not run for a reason that a new request cures.
func (journey *journey) visit(ctx context.Context, replica router.Replica) result {
	var last result

	for range maxRepeats {
		last = journey.attempt(ctx, replica)
		journey.attempts++

		if !last.repeat || ctx.Err() != nil {
			break
		}
	}

	journey.Router.RecordResult(replica.Name, last.health)
	journey.excluded = append(journey.excluded, replica.Name)
	journey.mayHaveRun = journey.mayHaveRun || last.Fate == classifier.MayHaveRun

	return last
}

// attempt sends the request to the replica once.
func (journey *journey) attempt(ctx context.Context, replica router.Replica) result {
	attempt := &attempt{
		Dispatcher: journey.Dispatcher,
		call:       journey.call,
		replica:    replica,
		id:         AttemptID(journey.attemptName(), replica.Name),
		fresh:      journey.attempts > 0,
		answer:     journey.answer,
	}

	return attempt.run(ctx)
}

// attemptName differs for each attempt, since a sidecar that revoked an ID
// refuses it for good.
func (journey *journey) attemptName() string {
	if journey.attempts == 0 {
		return journey.call.ID
	}

	return journey.call.ID + "-" + strconv.Itoa(journey.attempts)
}

// next tells why no other replica may try, or waits until one may and returns
// nothing. What certainly did not run may always move, what may have run only
// if it is idempotent. Whatever cost a replica work needs the retry budget.
func (journey *journey) next(ctx context.Context, last result) string {
	if last.final {
		return "it may not be tried elsewhere"
	}

	if ctx.Err() != nil {
		return "no time is left"
	}

	if last.Fate != classifier.NotRun && !journey.call.Idempotent {
		return "it may not be repeated"
	}

	if last.free {
		return ""
	}

	journey.paid++
	if journey.paid >= journey.Settings.Attempts {
		return "all attempts failed"
	}

	if !journey.budget.AllowRetry() {
		return "too many requests fail to try it elsewhere"
	}

	backoff := retrier.Backoff{Base: journey.Settings.RetryPause, MaxPause: journey.Settings.RetryPauseLimit}
	pause := backoff.Pause(journey.paid - 1)

	if time.Until(journey.call.Deadline) <= pause {
		return "no time is left"
	}

	select {
	case <-time.After(pause):
		return ""
	case <-ctx.Done():
		return "the caller left"
	}
}
