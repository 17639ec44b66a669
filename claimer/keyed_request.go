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

// keyedRequest is one request with an idempotency key, from its claim to its
// outcome.
type keyedRequest struct {
	*Claimer

	call dispatcher.Call
	// claim identifies the request; claimAttempt adds the attempt to a copy of it.
	claim Claim
	sink  dispatcher.Sink
	// ownClaim is the last claim that this request recorded; its attempt may have
	// been sent.
	ownClaim Claim
	// revokedAttempt is the attempt that this request may replace in the claim: its
	// sidecar confirmed that it has not run and never will.
	revokedAttempt string
	// blockingClaim is the claim of a copy that prevented an attempt from being
	// sent, if any.
	blockingClaim Claim
	// claimError is the error that prevented the claim from being recorded.
	claimError error
}

// run sends the request under its own claim, or joins the attempt of the copy that
// holds the key. It starts another round only after that copy's attempt is revoked
// for good.
func (request *keyedRequest) run(ctx context.Context) Outcome {
	for round := range request.Settings.Rounds {
		outcome := request.send(ctx, round)
		if outcome.Fate != classifier.NotRun {
			return Outcome{Outcome: outcome}
		}

		current, err := request.currentClaim(ctx)

		switch {
		case err != nil:
			return Outcome{Outcome: request.claimFailure(err)}
		case current.Key == "":
			return Outcome{Outcome: outcome}
		case current.Body != request.claim.Body:
			return Outcome{Outcome: classifier.NewNotRun("the idempotency key was used with another request", 0), Conflict: true}
		}

		outcome = request.join(ctx, current)
		if outcome.Fate != classifier.NotRun {
			return Outcome{Outcome: outcome}
		}

		request.revokedAttempt = current.Attempt
		request.ownClaim = Claim{}
	}

	return Outcome{Outcome: classifier.NewMayHaveRun("copies of the request contend for the key", request.Settings.RetryAfter)}
}

// send claims the key for an attempt and sends the call. NotRun means that the
// last claimed attempt, if any, is revoked for good.
func (request *keyedRequest) send(ctx context.Context, round int) classifier.Outcome {
	request.blockingClaim, request.claimError = Claim{}, nil

	call := request.call
	call.Permit = request.claimAttempt

	if round > 0 {
		// Sidecars may reject the IDs of earlier rounds as revoked.
		call.ID += "~" + strconv.Itoa(round)
	}

	return request.Dispatcher.Do(ctx, call, request.newCapturingSink(ctx, &request.ownClaim))
}

func (request *keyedRequest) newCapturingSink(ctx context.Context, claim *Claim) *capturingSink {
	return &capturingSink{sink: request.sink, onResult: func(result *Result) {
		answered := *claim
		answered.Result = result
		request.recordResult(ctx, answered)
	}}
}

// claimAttempt claims the key for an attempt that is about to be sent. If it is
// called again, the previous attempt was not run.
func (request *keyedRequest) claimAttempt(ctx context.Context, target dispatcher.Target) error {
	if request.ownClaim.Attempt != "" {
		request.revokedAttempt = request.ownClaim.Attempt
	}

	proposed := request.claim
	proposed.At = time.Now().Unix()
	proposed.Attempt = target.AttemptID
	proposed.Incarnation = target.Incarnation

	claim, err := request.committer.commit(ctx, proposed.shardKey(), claimKey(proposed, request.revokedAttempt))
	if err != nil {
		request.claimError = err

		return err
	}

	if claim.Attempt != proposed.Attempt {
		request.blockingClaim = claim

		return errors.AlreadyExistsf("claim of the key")
	}

	request.ownClaim = claim
	request.recordEvent(recorder.KindClaimed, claim.Attempt)
	request.beforeSend(claim.Attempt)

	return nil
}

// currentClaim returns the claim that holds the key, after this request was not
// sent or was refused by every replica. It releases this request's own claim; the
// zero Claim means that no copy holds the key.
func (request *keyedRequest) currentClaim(ctx context.Context) (Claim, error) {
	if request.claimError != nil || request.blockingClaim.Key != "" {
		return request.blockingClaim, request.claimError
	}

	lookup := request.claim
	change := claimKey(lookup, "")

	if request.ownClaim.Attempt != "" {
		request.revokedAttempt = request.ownClaim.Attempt
	}

	if request.revokedAttempt != "" {
		change = releaseClaim(lookup.Key, request.revokedAttempt)
	}

	return request.committer.commit(ctx, lookup.shardKey(), change)
}

// join replays the answer recorded in the claim, or reads it from the attempt's
// sidecar. NotRun means that the claim's attempt is revoked for good.
func (request *keyedRequest) join(ctx context.Context, current Claim) classifier.Outcome {
	if current.Result != nil {
		return request.replay(current)
	}

	dropped := classifier.NewMayHaveRun("the request was answered before; its answer is no longer kept", 0)
	if current.Attempt == "" {
		return dropped
	}

	request.recordEvent(recorder.KindJoined, current.Attempt, "Copy="+request.call.ID)

	readBack := dispatcher.ReadRequest{AttemptID: current.Attempt, Incarnation: current.Incarnation}
	if current.Answered {
		// Without an incarnation an answered attempt is only read, not revoked: its
		// sidecar may have dropped it.
		readBack.Incarnation = 0
	}

	outcome := request.Dispatcher.ReadAnswer(ctx, readBack, request.newCapturingSink(ctx, &current)).Outcome
	if outcome.Fate == classifier.NotRun && current.Answered {
		return dropped
	}

	return outcome
}

func (request *keyedRequest) replay(claim Claim) classifier.Outcome {
	request.recordEvent(recorder.KindAnswered, claim.Attempt, "Copy="+request.call.ID, "From=claim")

	if err := claim.Result.replay(claim.Attempt, request.sink); err != nil {
		return classifier.NewMayHaveRun("the caller left: "+err.Error(), 0)
	}

	return classifier.Outcome{Fate: classifier.Answered}
}

// claimFailure returns the outcome if the key-value service does not answer. Before
// the first claim nothing was sent. After it, a copy of the request may have taken
// over the claim, so the request may have run.
func (request *keyedRequest) claimFailure(err error) classifier.Outcome {
	if request.revokedAttempt == "" && request.ownClaim.Attempt == "" {
		return classifier.NewNotRun("the claim cannot be recorded, so this copy of the request was not sent: "+err.Error(), request.Settings.RetryAfter)
	}

	return classifier.NewMayHaveRun("the claim cannot be read: "+err.Error(), request.Settings.RetryAfter)
}
