package claimer

import (
	"context"
	"time"

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
	// revoked is the attempt that the claim may be moved on from: its sidecar
	// said that it has not run and never will.
	revoked string
	// tried holds the starts of the replicas that refused this request.
	tried map[string]uint64
	// refusal is why the last attempt did not run.
	refusal classifier.Outcome
}

// hold is what a round of claiming found.
type hold struct {
	Claim
	// target is nil unless this request may send the claim's attempt.
	target *dispatcher.Target
	// stuck is set when there is no replica to claim an attempt at, and no
	// attempt of another request to join.
	stuck bool
}

// run goes through rounds of claiming, and of sending or joining. A further
// round follows only after an attempt that is revoked for good.
func (order *order) run(ctx context.Context) Outcome {
	order.refusal = classifier.Refuse("no replica serves "+order.call.Service+" now", order.Settings.RetryAfter)

	for range order.Settings.Rounds {
		held, err := order.begin(ctx)

		switch {
		case err != nil:
			return Outcome{Outcome: order.unclaimed(err)}
		case held.Key != "" && held.Body != order.claim.Body:
			return Outcome{Outcome: classifier.Refuse("the idempotency key was used with another request", 0), Conflict: true}
		case held.stuck:
			return Outcome{Outcome: order.giveUp(ctx)}
		}

		outcome := order.pursue(ctx, held)
		if outcome.Fate != classifier.NotRun {
			return Outcome{Outcome: outcome}
		}

		order.refusal = outcome
		order.revoked = held.Attempt
	}

	return Outcome{Outcome: order.giveUp(ctx)}
}

// begin tries to claim the key for an attempt of this request.
func (order *order) begin(ctx context.Context) (hold, error) {
	started := time.Now()
	wanted := order.claim
	wanted.At = started.Unix()

	target, found := order.aim(ctx)
	if found {
		wanted.Attempt = dispatcher.AttemptID(order.call.ID, target.Replica.Name)
		wanted.Incarnation = target.Incarnation
	}

	claim, err := order.committer.commit(ctx, wanted.shard(), begin(wanted, order.revoked))
	if err != nil {
		return hold{}, err
	}

	if !found {
		return hold{Claim: claim, stuck: claim.Key == "" || claim.Attempt == order.revoked && !claim.Answered}, nil
	}

	if claim.Attempt != wanted.Attempt {
		return hold{Claim: claim}, nil
	}

	order.tried[target.Replica.Name] = target.Incarnation
	order.event(recorder.KindClaimed, claim.Attempt)
	order.beforeSend(claim.Attempt)

	// The right to send ends long before sidecars forget a revocation. Without
	// it the attempt is treated like another's: joined, or revoked.
	if time.Since(started) > order.Settings.SendWithin {
		return hold{Claim: claim}, nil
	}

	return hold{Claim: claim, target: &target}, nil
}

// aim chooses a replica that has not refused this request, or another start of
// one that has.
func (order *order) aim(ctx context.Context) (dispatcher.Target, bool) {
	exclude := make([]string, 0, len(order.tried))
	for name := range order.tried {
		exclude = append(exclude, name)
	}

	if target, found := order.Dispatcher.Aim(ctx, order.call, exclude); found || len(exclude) == 0 {
		return target, found
	}

	target, found := order.Dispatcher.Aim(ctx, order.call, nil)

	return target, found && order.tried[target.Replica.Name] != target.Incarnation
}

// pursue takes the claim's attempt to its outcome. NotRun means that the
// attempt is revoked for good.
func (order *order) pursue(ctx context.Context, held hold) classifier.Outcome {
	if held.Result != nil {
		return order.replay(held.Claim)
	}

	if held.Attempt == "" {
		return classifier.Lose("the request was answered before; its answer is no longer kept", 0)
	}

	sink := &capture{sink: order.sink, record: func(result *Result) {
		answered := held.Claim
		answered.Result = result
		order.record(ctx, answered)
	}}

	if held.target != nil {
		return order.Dispatcher.DoAt(ctx, order.call, *held.target, sink)
	}

	order.event(recorder.KindJoined, held.Attempt, "Copy="+order.call.ID)

	wanted := dispatcher.ReadBack{AttemptID: held.Attempt, Incarnation: held.Incarnation}
	if held.Answered {
		// An answered attempt is only read: its sidecar may have dropped it.
		wanted.Incarnation = 0
	}

	outcome := order.Dispatcher.ReadBack(ctx, wanted, sink).Outcome
	if outcome.Fate == classifier.NotRun && held.Answered {
		return classifier.Lose("the request was answered before; its answer is no longer kept", 0)
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

// unclaimed is the outcome when the key-value service gives no answer. Nothing
// was sent in the first round. Later, a copy of the request may have taken the
// claim over meanwhile, so no more is known.
func (order *order) unclaimed(err error) classifier.Outcome {
	if order.revoked == "" {
		return classifier.Refuse("the claim cannot be recorded, so this copy of the request was not sent: "+err.Error(), order.Settings.RetryAfter)
	}

	return classifier.Lose("the claim cannot be read: "+err.Error(), order.Settings.RetryAfter)
}

// giveUp ends a request that no replica took. It is said to be not run only
// when no copy of it holds the key; the key is free afterwards.
func (order *order) giveUp(ctx context.Context) classifier.Outcome {
	if order.revoked == "" {
		return order.refusal
	}

	claim, err := order.committer.commit(ctx, order.claim.shard(), release(order.claim.Key, order.revoked))

	switch {
	case err != nil:
		return order.unclaimed(err)
	case claim.Key == "":
		return order.refusal
	}

	outcome := order.pursue(ctx, hold{Claim: claim})
	if outcome.Fate == classifier.NotRun {
		return classifier.Lose("a copy of the request holds the key", order.Settings.RetryAfter)
	}

	return outcome
}
