package forwarder

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"limpetrail/attester"
	"limpetrail/kernel"
	"limpetrail/placer"
	"limpetrail/quarantiner"
	"limpetrail/resumer"
	"limpetrail/retrier"
	"limpetrail/stopper"
)

// Forwarder sends calls to backend servers and passes the answers back.
type Forwarder struct {
	kernel.Common
	Placer      *placer.Placer
	Backend     Backend
	Quarantiner *quarantiner.Quarantiner
	Origins     Origins
	Attester    *attester.Attester
	Stopper     *stopper.Stopper
	// ServerList is nil if the placer's list is always current.
	ServerList ServerList

	// budgets limit the retries of attempts that a silent server did not answer in
	// time, by service.
	budgets  *retrier.Cache[string, *retrier.Budget]
	outcomes *outcomeRecorder
	// remainingTimes are those with which calls arrived. Callers of a route mostly start with the
	// same time, so one with less than the others has probably been refused before.
	remainingTimes *longestTimes
	// durations are those of calls that took as long as they needed.
	durations *longestTimes
}

const (
	// retryShare is how many retries after silence each answered call allows. More
	// silent calls than this mean an overload, which retries would make worse.
	retryShare = 0.1
	// retryBurst lets all the calls at a server that stopped responding move to
	// others at once.
	retryBurst = 20
	// maxRetryBudgets bounds the services whose budget is kept.
	maxRetryBudgets = 1000
)

// Option changes a Forwarder at construction.
type Option func(*Forwarder)

// WithOrigins sets who knows where streams began. Without it the forwarder knows its own only.
func WithOrigins(origins Origins) Option {
	return func(forwarder *Forwarder) { forwarder.Origins = origins }
}

// WithAttester shares the inquiries for the starts of servers with others.
func WithAttester(starts *attester.Attester) Option {
	return func(forwarder *Forwarder) { forwarder.Attester = starts }
}

// WithStopper sets the stop of the process. Without it the process never stops.
func WithStopper(stop *stopper.Stopper) Option {
	return func(forwarder *Forwarder) { forwarder.Stopper = stop }
}

// WithServerList sets how the list of servers is read anew. Without it the placer's list is trusted.
func WithServerList(list ServerList) Option {
	return func(forwarder *Forwarder) { forwarder.ServerList = list }
}

// NewForwarder returns a forwarder that gets places from the placer.
func NewForwarder(common kernel.Common, requestPlacer *placer.Placer, backend Backend, quarantine *quarantiner.Quarantiner, options ...Option) *Forwarder {
	common = common.ForPart("forwarder")

	forwarder := &Forwarder{
		Common:         common,
		outcomes:       newOutcomeRecorder(common),
		remainingTimes: newLongestTimes(),
		durations:      newLongestTimes(),
		Placer:         requestPlacer,
		Backend:        backend,
		Quarantiner:    quarantine,
		Attester:       attester.NewAttester(common, backend),
		Stopper:        stopper.NewStopper(0, 0),
		Origins:        resumer.NewResumer(common),
		budgets:        retrier.NewCache[string](maxRetryBudgets, func() *retrier.Budget { return retrier.NewBudget(retryShare, retryBurst) }),
	}

	for _, option := range options {
		option(forwarder)
	}

	return forwarder
}

// Forward handles a call until it is answered or has failed. If the outcome is
// Broken, the sink has received only part of an answer, and the caller's connection
// must be closed so that the part does not look complete.
func (forwarder *Forwarder) Forward(ctx context.Context, call *Call, sink Sink) Result {
	startedAt := time.Now()
	result, admitted := forwarder.admit(call)

	if admitted {
		result = forwarder.deliver(ctx, call, sink, startedAt)
		forwarder.recordDuration(call, result, startedAt)
	}

	forwarder.outcomes.record(call, result, time.Since(startedAt))

	return result
}

func (forwarder *Forwarder) deliver(ctx context.Context, call *Call, sink Sink, startedAt time.Time) Result {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()

	remaining := call.Deadline.Sub(startedAt)
	delivery := &delivery{
		forwarder:   forwarder,
		call:        call,
		sink:        sink,
		startedAt:   startedAt,
		spentBefore: forwarder.remainingTimes.record(call.Route.Name, remaining, startedAt) - remaining,
		lastEventID: call.LastEventID,
		reports:     make(chan report),
	}

	return delivery.finish(ctx, delivery.deliver(ctx))
}

// log returns a log entry with the call's ID and route.
func (forwarder *Forwarder) log(call *Call, fields logrus.Fields) *logrus.Entry {
	return forwarder.Log.WithField("RequestID", call.ID).WithField("Route", call.Route.Name).WithFields(fields)
}
