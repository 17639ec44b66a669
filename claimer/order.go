package claimer

import (
	"context"
	"strconv"
	"time"

	"github.com/juju/errors"

	"limpetrail/classifier"
	"limpetrail/dispatcher"
	"limpetrail/recorder"
)

// order is one keyed request on its way through its claim.
type order struct {
	*Claimer

	call dispatcher.Call
	// claim is what this request wants to record.
	claim Claim
	sink  dispatcher.Sink
	// own is the last claim of this request; its attempt may have been sent.
	own Claim
	// revoked is the attempt that the claim may be moved on from: its sidecar
	// said that it has not run and never will.
	revoked string
	// held is the claim that kept an attempt from leaving, if there is one.
	held Claim
	// failure is why the claim could not be recorded.
	failure error
}

// run goes through rounds of claiming, and of sending or joining. A further
// round follows only after an attempt that is revoked for good.
func (order *order) run(ctx context.Context) Outcome {
	for round := range order.Settings.Rounds {
		outcome := order.send(ctx, round)
		if outcome.Fate != classifier.NotRun {
			return Outcome{Outcome: outcome}
		}

		held, err := order.holder(ctx)

		switch {
		case err != nil:
			return Outcome{Outcome: order.unclaimed(err)}
		case held.Key == "":
			return Outcome{Outcome: outcome}
		case held.Body != order.claim.Body:
			return Outcome{Outcome: classifier.Refuse("the idempotency key was used with another request", 0), Conflict: true}
		}

		outcome = order.join(ctx, held)
		if outcome.Fate != classifier.NotRun {
			return Outcome{Outcome: outcome}
		}

		order.revoked = held.Attempt
		order.own = Claim{}
	}

	return Outcome{Outcome: classifier.Lose("copies of the request contend for the key", order.Settings.RetryAfter)}
}

// send sends the call once its attempt is claimed. NotRun means that the last
// claimed attempt, if any, is revoked for good.
func (order *order) send(ctx context.Context, round int) classifier.Outcome {
	order.held, order.failure = Claim{}, nil

	call := order.call
	call.Permit = order.permit

	if round > 0 {
		// The IDs of earlier rounds may be barred at their sidecars.
		call.ID += "~" + strconv.Itoa(round)
	}

	return order.Dispatcher.Do(ctx, call, order.capture(ctx, &order.own))
}

func (order *order) capture(ctx context.Context, claim *Claim) *capture {
	return &capture{sink: order.sink, record: func(result *Result) {
		answered := *claim
		answered.Result = result
		order.record(ctx, answered)
	}}
}

// permit claims the key for an attempt that is about to leave. A further call
// of it means that the attempt before was not run.
func (order *order) permit(ctx context.Context, target dispatcher.Target) error {
	if order.own.Attempt != "" {
		order.revoked = order.own.Attempt
	}

	wanted := order.claim
	wanted.At = time.Now().Unix()
	wanted.Attempt = target.AttemptID
	wanted.Incarnation = target.Incarnation

	claim, err := order.committer.commit(ctx, wanted.shard(), begin(wanted, order.revoked))
	if err != nil {
		order.failure = err

		return err
	}

	if claim.Attempt != wanted.Attempt {
		order.held = claim

		return errors.AlreadyExistsf("claim of the key")
	}

	order.own = claim
	order.event(recorder.KindClaimed, claim.Attempt)
	order.beforeSend(claim.Attempt)

	return nil
}

// holder returns the claim that holds the key after a request was not sent, or
// was refused everywhere. It gives up this request's own claim; the zero Claim
// means that no copy holds the key.
func (order *order) holder(ctx context.Context) (Claim, error) {
	if order.failure != nil || order.held.Key != "" {
		return order.held, order.failure
	}

	look := order.claim
	change := begin(look, "")

	if order.own.Attempt != "" {
		order.revoked = order.own.Attempt
	}

	if order.revoked != "" {
		change = release(look.Key, order.revoked)
	}

	return order.committer.commit(ctx, look.shard(), change)
}

// join replays the claim's answer or reads it at its sidecar. NotRun means that
// the claim's attempt is revoked for good.
func (order *order) join(ctx context.Context, held Claim) classifier.Outcome {
	if held.Result != nil {
		return order.replay(held)
	}

	kept := classifier.Lose("the request was answered before; its answer is no longer kept", 0)
	if held.Attempt == "" {
		return kept
	}

	order.event(recorder.KindJoined, held.Attempt, "Copy="+order.call.ID)

	wanted := dispatcher.ReadBack{AttemptID: held.Attempt, Incarnation: held.Incarnation}
	if held.Answered {
		// An answered attempt is only read: its sidecar may have dropped it.
		wanted.Incarnation = 0
	}

	outcome := order.Dispatcher.ReadBack(ctx, wanted, order.capture(ctx, &held)).Outcome
	if outcome.Fate == classifier.NotRun && held.Answered {
		return kept
	}

	return outcome
}

func (order *order) replay(claim Claim) classifier.Outcome {
	order.event(recorder.KindAnswered, claim.Attempt, "Copy="+order.call.ID, "From=claim")

	if err := claim.Result.replay(claim.Attempt, order.sink); err != nil {
		return classifier.Lose("the caller left: "+err.Error(), 0)
	}

	return classifier.Outcome{Fate: classifier.Answered}
}

// unclaimed is the outcome when the key-value service gives no answer. Before
// the first claim nothing was sent. Later, a copy of the request may have taken
// the claim over meanwhile, so no more is known.
func (order *order) unclaimed(err error) classifier.Outcome {
	if order.revoked == "" && order.own.Attempt == "" {
		return classifier.Refuse("the claim cannot be recorded, so this copy of the request was not sent: "+err.Error(), order.Settings.RetryAfter)
	}

	return classifier.Lose("the claim cannot be read: "+err.Error(), order.Settings.RetryAfter)
}
