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

// Claimer takes keyed requests to their outcome.
type Claimer struct {
	kernel.Common
	Settings   Settings
	Dispatcher *dispatcher.Dispatcher

	committer *committer
	// recording counts the results that are still being recorded.
	recording sync.WaitGroup
	// beforeSend runs between a claim and its attempt; tests pause there.
	beforeSend func(attempt string)
}

// Outcome is the end of a keyed request.
type Outcome struct {
	classifier.Outcome
	// Conflict is set when the key was used with another body before.
	Conflict bool
}

// Option changes a Claimer at construction.
type Option func(*Claimer)

// WithSettings sets the bounds.
func WithSettings(settings Settings) Option {
	return func(claimer *Claimer) { claimer.Settings = settings }
}

// NewClaimer returns a claimer over the store.
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

// Wait returns when every result that is being recorded is recorded or given
// up.
func (claimer *Claimer) Wait() {
	claimer.recording.Wait()
}

// Do takes a keyed call to its outcome: it runs the call under a new claim, or
// joins or replays the attempt that an earlier copy of it claimed. The call
// goes on when the caller leaves, until its deadline.
func (claimer *Claimer) Do(ctx context.Context, call dispatcher.Call, key string, sink dispatcher.Sink) Outcome {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), call.Deadline)
	defer cancel()

	order := &order{
		Claimer: claimer,
		call:    call,
		claim:   newClaim(call, key),
		sink:    sink,
	}

	return order.run(ctx)
}

// record keeps trying to record the claim's result. It returns when that is
// done, or after ResultWait while the tries go on.
func (claimer *Claimer) record(ctx context.Context, claim Claim) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimer.Settings.RecordFor)
	recorded := make(chan struct{})

	claimer.recording.Go(func() {
		defer cancel()
		defer close(recorded)

		claimer.keepRecording(ctx, claim)
	})

	select {
	case <-recorded:
	case <-time.After(claimer.Settings.ResultWait):
	}
}

func (claimer *Claimer) keepRecording(ctx context.Context, claim Claim) {
	for {
		_, err := claimer.committer.commit(ctx, claim.shard(), settle(claim))
		if err == nil {
			claimer.event(recorder.KindCommitted, claim.Attempt)

			return
		}

		select {
		case <-time.After(claimer.Settings.RecordPause):
		case <-ctx.Done():
			claimer.Log.WithError(err).Error("Result not recorded; it is left at its sidecar.")

			return
		}
	}
}

func (claimer *Claimer) event(kind recorder.Kind, attempt string, details ...string) {
	requestID, replica, _ := dispatcher.SplitAttemptID(attempt)
	details = append(details, "Replica="+replica)
	claimer.Recorder.Record(recorder.Event{Part: "claimer", Kind: kind, RequestID: requestID, Details: details})
}
