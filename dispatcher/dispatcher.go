package dispatcher

import (
	"context"
	"strconv"
	"time"

	"limpetrail/classifier"
	"limpetrail/dialer"
	"limpetrail/kernel"
	"limpetrail/messenger"
	"limpetrail/quarantiner"
	"limpetrail/recorder"
	"limpetrail/retrier"
	"limpetrail/router"
)

// maxRetryBudgets bounds the number of services with a retry budget.
const maxRetryBudgets = 4096

// Dispatcher sends requests to sidecars.
type Dispatcher struct {
	kernel.Common
	Settings Settings
	Router   *router.Router
	Dialer   *dialer.Dialer
	// Quarantiner keeps prompts that end backend servers away from them.
	Quarantiner *quarantiner.Quarantiner

	// budgets holds the retry budget of each service.
	budgets      *retrier.Cache[string, *retrier.Budget]
	incarnations *incarnations
}

// Option changes a Dispatcher at construction.
type Option func(*Dispatcher)

// WithSettings replaces the default settings.
func WithSettings(settings Settings) Option {
	return func(dispatcher *Dispatcher) { dispatcher.Settings = settings }
}

// NewDispatcher returns a dispatcher.
func NewDispatcher(common kernel.Common, routes *router.Router, connections *dialer.Dialer, options ...Option) *Dispatcher {
	dispatcher := &Dispatcher{
		Common:       common.ForPart("dispatcher"),
		Settings:     DefaultSettings(),
		Router:       routes,
		Dialer:       connections,
		Quarantiner:  quarantiner.NewQuarantiner(common, nil),
		incarnations: newIncarnations(),
	}
	for _, option := range options {
		option(dispatcher)
	}

	dispatcher.budgets = retrier.NewCache[string](maxRetryBudgets, func() *retrier.Budget {
		return retrier.NewBudget(dispatcher.Settings.RetryShare, dispatcher.Settings.RetryBurst)
	})

	return dispatcher
}

// Do sends the call, retries it where that is allowed, writes the answer to the
// sink and returns the outcome.
func (dispatcher *Dispatcher) Do(ctx context.Context, call Call, sink Sink) classifier.Outcome {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()

	routed := &routedCall{
		Dispatcher:        dispatcher,
		call:              call,
		answer:            &answerWriter{sink: sink},
		quarantineRequest: newQuarantineRequest(call),
		budget:            dispatcher.budgets.GetOrCreate(call.Service),
	}

	outcome := routed.run(ctx)
	if outcome.Fate != classifier.Answered {
		dispatcher.recordEvent(recorder.KindRefused, call.ID, "Fate="+string(outcome.Fate), "Reason="+outcome.Reason)
	}

	return outcome
}

func (dispatcher *Dispatcher) applyLoad(replica router.Replica, load *messenger.LoadReport) {
	if load == nil {
		return
	}

	dispatcher.Router.ApplyLoad(replica.Name, router.Load{
		RunningOnline: int(load.GetRunningOnline()),
		QueuedOnline:  int(load.GetQueuedOnline()),
		RunningBatch:  int(load.GetRunningBatch()),
		Limit:         int(load.GetLimit()),
		FirstToken:    time.Duration(load.GetFirstTokenMicros()) * time.Microsecond,
		Draining:      load.GetDraining(),
	})
}

func (dispatcher *Dispatcher) recordEvent(kind recorder.Kind, id string, details ...string) {
	dispatcher.Recorder.Record(recorder.Event{Part: "dispatcher", Kind: kind, RequestID: id, Details: details})
}

func (dispatcher *Dispatcher) clockStamp() uint64 {
	return uint64(dispatcher.Recorder.Clock.Now())
}

func formatUint(value uint64) string {
	return strconv.FormatUint(value, 10)
}
