package dispatcher

import (
	"context"
	"strconv"
	"time"

	"limpetrail/classifier"
	"limpetrail/dialer"
	"limpetrail/kernel"
	"limpetrail/messenger"
	"limpetrail/recorder"
	"limpetrail/retrier"
	"limpetrail/router"
)

// maxServices bounds the services that have a retry budget.
const maxServices = 4096

// Dispatcher sends requests to sidecars.
type Dispatcher struct {
	kernel.Common
	Settings Settings
	Router   *router.Router
	Dialer   *dialer.Dialer

	// budgets bounds the repeated attempts of each service.
	budgets *retrier.Cache[string, *retrier.Budget]
	numbers *numbers
}

// Option changes a Dispatcher at construction.
type Option func(*Dispatcher)

// WithSettings sets the bounds.
func WithSettings(settings Settings) Option {
	return func(dispatcher *Dispatcher) { dispatcher.Settings = settings }
}

// NewDispatcher returns a dispatcher.
func NewDispatcher(common kernel.Common, routes *router.Router, connections *dialer.Dialer, options ...Option) *Dispatcher {
	dispatcher := &Dispatcher{
		Common:   common.ForPart("dispatcher"),
		Settings: DefaultSettings(),
		Router:   routes,
		Dialer:   connections,
		numbers:  newNumbers(),
	}
	for _, option := range options {
		option(dispatcher)
	}

	dispatcher.budgets = retrier.NewCache[string](maxServices, func() *retrier.Budget {
		return retrier.NewBudget(dispatcher.Settings.RetryShare, dispatcher.Settings.RetryBurst)
	})

	return dispatcher
}

// Do takes the call to its outcome and writes the answer to the sink.
func (dispatcher *Dispatcher) Do(ctx context.Context, call Call, sink Sink) classifier.Outcome {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()

	journey := &journey{
		Dispatcher: dispatcher,
		call:       call,
		answer:     &answer{sink: sink},
		budget:     dispatcher.budgets.GetOrCreate(call.Service),
	}

	outcome := journey.run(ctx)
	if outcome.Fate != classifier.Answered {
		dispatcher.event(recorder.KindRefused, call.ID, "Fate="+string(outcome.Fate), "Reason="+outcome.Reason)
	}

	return outcome
}

func (dispatcher *Dispatcher) report(replica router.Replica, load *messenger.LoadReport) {
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

func (dispatcher *Dispatcher) event(kind recorder.Kind, id string, details ...string) {
	dispatcher.Recorder.Record(recorder.Event{Part: "dispatcher", Kind: kind, RequestID: id, Details: details})
}

func (dispatcher *Dispatcher) now() uint64 {
	return uint64(dispatcher.Recorder.Clock.Now())
}

func formatUint(value uint64) string {
	return strconv.FormatUint(value, 10)
}
