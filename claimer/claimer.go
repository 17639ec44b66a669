package claimer

import (
	"context"
	"sync"
	"time"

	"limpetrail/classifier"
	"limpetrail/dispatcher"
	"limpetrail/keeper"
	"limpetrail/kernel"
	"limpetrail/recorder"
)

// Claimer runs each request that carries an idempotency key at most once.
type Claimer struct {
	kernel.Common
	Settings   Settings
	Dispatcher *dispatcher.Dispatcher

	committer *committer
	// recordings tracks the goroutines that record results.
	recordings sync.WaitGroup
	// beforeSend is called after an attempt is claimed and before it is sent;
	// tests use it to pause.
	beforeSend func(attempt string)
}

// Outcome is the outcome of a request with an idempotency key.
type Outcome struct {
	classifier.Outcome
	// Conflict is set if the key was already used with a different request.
	Conflict bool
}

// Option changes a Claimer at construction.
type Option func(*Claimer)

// WithSettings sets the settings.
func WithSettings(settings Settings) Option {
	return func(claimer *Claimer) { claimer.Settings = settings }
}

// NewClaimer returns a claimer that keeps its claims in the store.
func NewClaimer(common kernel.Common, store keeper.Store, calls *dispatcher.Dispatcher, options ...Option) *Claimer {
	claimer := &Claimer{
		Common:     common.ForPart("claimer"),
		Settings:   DefaultSettings(),
		Dispatcher: calls,
		beforeSend: func(string) {},
	}
	for _, option := range options {
		option(claimer)
	}

	claimer.committer = newCommitter(store, claimer.Settings.CommitTimeout)

	return claimer
}

// Wait blocks until no result is being recorded: each was committed, or its
// retries ended after RecordFor.
func (claimer *Claimer) Wait() {
	claimer.recordings.Wait()
}

// Do runs a call with an idempotency key and returns its outcome. It claims the
// key and sends the call, or, if a copy of the request has claimed the key, joins
// that copy's attempt or replays its answer. The call continues after the caller
// disconnects, until its deadline.
func (claimer *Claimer) Do(ctx context.Context, call dispatcher.Call, key string, sink dispatcher.Sink) Outcome {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), call.Deadline)
	defer cancel()

	request := &keyedRequest{
		Claimer: claimer,
		call:    call,
		claim:   newClaim(call, key),
		sink:    sink,
	}

	return request.run(ctx)
}

// recordResult records the claim's result. It returns once that is done, or after
// ResultWait while retries continue in the background.
func (claimer *Claimer) recordResult(ctx context.Context, claim Claim) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimer.Settings.RecordFor)
	recorded := make(chan struct{})

	claimer.recordings.Go(func() {
		defer cancel()
		defer close(recorded)

		claimer.retryRecording(ctx, claim)
	})

	select {
	case <-recorded:
	case <-time.After(claimer.Settings.ResultWait):
	}
}

// retryRecording retries every RecordPause until the result is recorded or the
// context ends.
func (claimer *Claimer) retryRecording(ctx context.Context, claim Claim) {
	for {
		_, err := claimer.committer.commit(ctx, claim.shardKey(), setResult(claim))
		if err == nil {
			claimer.recordEvent(recorder.KindCommitted, claim.Attempt)

			return
		}

		select {
		case <-time.After(claimer.Settings.RecordPause):
		case <-ctx.Done():
			claimer.Log.WithError(err).Error("Result not recorded; only the sidecar holds it.")

			return
		}
	}
}

func (claimer *Claimer) recordEvent(kind recorder.Kind, attempt string, details ...string) {
	requestID, replica, _ := dispatcher.SplitAttemptID(attempt)
	details = append(details, "Replica="+replica)
	claimer.Recorder.Record(recorder.Event{Part: "claimer", Kind: kind, RequestID: requestID, Details: details})
}
