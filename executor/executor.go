package executor

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"

	"limpetrail/admitter"
	"limpetrail/driver"
	"limpetrail/kernel"
	"limpetrail/messenger"
	"limpetrail/recorder"
)

// Executor owns the runs of one sidecar.
type Executor struct {
	kernel.Common
	Settings Settings
	// Incarnation differs at every start of the process; see NewExecutor. A
	// request of this process's own carries it; peers carry Number.
	Incarnation uint64
	// Engine is nil when the backend server is a plain service.
	Engine driver.Engine
	// Service is nil when the backend server is a model engine.
	Service  driver.Service
	Admitter admitter.Admitter

	mutex sync.Mutex
	// runs holds unfinished runs and the ended ones that the ledger remembers,
	// revoked IDs among them.
	runs     map[string]*Run
	ledger   ledger
	draining bool
	// drained is when draining began.
	drained time.Time
	// reported is the load report that data frames share until it is old.
	reported   *messenger.LoadReport
	reportedAt time.Time
	// starting ends LeavingStart after draining began: nothing starts after it.
	starting    context.Context //nolint:containedctx // It bounds the waits of all runs.
	endStarting context.CancelFunc
	// context ends all work.
	context context.Context //nolint:containedctx // Runs outlive the connection that brought them.
	// active counts the runs that have not ended.
	active sync.WaitGroup
}

// Option changes an Executor at construction.
type Option func(*Executor)

// WithEngine sets the model engine.
func WithEngine(engine driver.Engine) Option {
	return func(executor *Executor) { executor.Engine = engine }
}

// WithService sets the plain service.
func WithService(service driver.Service) Option {
	return func(executor *Executor) { executor.Service = service }
}

// WithSettings sets the bounds.
func WithSettings(settings Settings) Option {
	return func(executor *Executor) { executor.Settings = settings }
}

// NewExecutor returns an executor whose work ends with the context. The
// incarnation is random: what counts is that no two starts of a sidecar share
// it, not their order.
func NewExecutor(ctx context.Context, common kernel.Common, admission admitter.Admitter, options ...Option) *Executor {
	ledger := newLedger(rand.Uint64())
	executor := &Executor{
		Common:      common.ForPart("executor"),
		Settings:    DefaultSettings(),
		Incarnation: ledger.base,
		Admitter:    admission,
		runs:        map[string]*Run{},
		ledger:      ledger,
		context:     ctx,
	}
	executor.starting, executor.endStarting = context.WithCancel(ctx) //nolint:gosec // Drain calls it.

	for _, option := range options {
		option(executor)
	}

	return executor
}

// Number is what a request of a peer must carry now.
func (executor *Executor) Number() uint64 {
	executor.mutex.Lock()
	defer executor.mutex.Unlock()

	return executor.ledger.window
}

// Submit records the request and starts to work on it, or joins the run of the
// same ID. The error says why it will never run here; it is then NotRun. Only
// a request of this process's own may carry the bare incarnation.
func (executor *Executor) Submit(request *messenger.ExecuteRequest) (*Run, error) {
	executor.mutex.Lock()
	defer executor.mutex.Unlock()

	id := request.GetRequestId()

	// An ID that is known is joined whatever its number: it cannot start twice.
	if run, found := executor.runs[id]; found {
		return run, nil
	}

	if number := request.GetIncarnation(); number != executor.Incarnation && !executor.ledger.accepts(number) {
		return nil, errors.Forbiddenf("request for another start of %s", executor.Instance)
	}

	if executor.draining {
		return nil, errors.Forbiddenf("new work: %s is leaving", executor.Instance)
	}

	limit := uint64(executor.Settings.MaxRemaining / time.Microsecond)
	request.RemainingMicros = min(request.GetRemainingMicros(), limit)

	ctx, cancel := context.WithCancel(executor.context)
	run := NewRun(request, cancel)
	executor.runs[id] = run
	executor.active.Add(1)
	executor.event(recorder.KindAccepted, id, "Service="+request.GetService(), "Firm="+request.GetFirm())

	go func() {
		defer executor.active.Done()
		defer cancel()

		executor.work(ctx, run)
		executor.retain(id, run)
	}()

	return run, nil
}

// Find returns the run of that ID, or nil.
func (executor *Executor) Find(id string) *Run {
	executor.mutex.Lock()
	defer executor.mutex.Unlock()

	return executor.runs[id]
}

// Revoke makes sure that a request that has not started never will, also when
// it has not arrived yet. With cancel a running one is stopped too. An ID that
// is unknown under a number that is no longer accepted has the fate unknown:
// it may have ended so long ago that it was forgotten.
func (executor *Executor) Revoke(id string, number uint64, cancel bool) (messenger.Fate, uint64) {
	run := executor.findOrBar(id, number)
	if run == nil {
		return messenger.Fate_FATE_UNKNOWN, 0
	}

	fate, offset := run.Revoke()
	executor.event(recorder.KindRevoked, id, "Fate="+fate.String())

	if cancel && fate == messenger.Fate_FATE_RUNNING {
		run.stop()
	}

	return fate, offset
}

// findOrBar returns the run of that ID; an unknown ID gets a revoked run, so
// that a copy that arrives later is refused.
func (executor *Executor) findOrBar(id string, number uint64) *Run {
	executor.mutex.Lock()
	defer executor.mutex.Unlock()

	if run, found := executor.runs[id]; found {
		return run
	}

	if !executor.ledger.accepts(number) {
		return nil
	}

	run := NewRun(&messenger.ExecuteRequest{RequestId: id}, func() {})
	run.Revoke()
	executor.runs[id] = run
	executor.ledger.add(id, run, 0)
	executor.forget()

	return run
}

// Drain refuses all new work from now on.
func (executor *Executor) Drain() {
	executor.mutex.Lock()
	defer executor.mutex.Unlock()

	if !executor.draining {
		executor.draining = true
		executor.drained = time.Now()
		time.AfterFunc(executor.Settings.LeavingStart, executor.endStarting)
		executor.Log.Info("Draining.")
		executor.event(recorder.KindDraining, "")
	}
}

// Wait returns when every run has ended.
func (executor *Executor) Wait() {
	executor.active.Wait()
}

// Linger waits until the answers of a drained sidecar had time to be read, and
// its refusals time to be heard.
func (executor *Executor) Linger(ctx context.Context) {
	executor.mutex.Lock()
	since := executor.drained
	if last := executor.ledger.lastEnd(); last.After(since) {
		since = last
	}
	executor.mutex.Unlock()

	select {
	case <-time.After(time.Until(since.Add(executor.Settings.Linger))):
	case <-ctx.Done():
	}
}

// frameLoad returns the report for a data frame, which is shared for a short
// time because a stream sends one for every token.
func (executor *Executor) frameLoad() *messenger.LoadReport {
	executor.mutex.Lock()
	fresh := executor.reported != nil &&
		executor.reported.GetDraining() == executor.draining &&
		time.Since(executor.reportedAt) < executor.Settings.LoadAge
	reported := executor.reported
	executor.mutex.Unlock()

	if fresh {
		return reported
	}

	report := executor.Load()

	executor.mutex.Lock()
	defer executor.mutex.Unlock()

	executor.reported = report
	executor.reportedAt = time.Now()

	return report
}

// Load returns the present report; it rides on every frame.
func (executor *Executor) Load() *messenger.LoadReport {
	report := executor.Admitter.Report()

	executor.mutex.Lock()
	draining := executor.draining
	executor.mutex.Unlock()

	return &messenger.LoadReport{
		RunningOnline:    uint32(report.RunningOnline),
		QueuedOnline:     uint32(report.QueuedOnline),
		RunningBatch:     uint32(report.RunningBatch),
		Limit:            uint32(report.Limit),
		FirstTokenMicros: uint32(report.FirstToken.Microseconds()),
		Draining:         draining,
	}
}

// Tend drops old answers and stops abandoned runs until the context ends.
func (executor *Executor) Tend(ctx context.Context) {
	ticker := time.NewTicker(executor.Settings.Heartbeat)
	defer ticker.Stop()

	for {
		select {
		case <-ticker.C:
			executor.tend()
		case <-ctx.Done():
			return
		}
	}
}

func (executor *Executor) tend() {
	executor.mutex.Lock()
	defer executor.mutex.Unlock()

	executor.ledger.turn(executor.Settings)
	executor.forget()

	for id, run := range executor.runs {
		// A non-idempotent run goes on: stopping it would leave its effect
		// unknown, and its answer may be asked for again.
		if run.Request.GetIdempotent() && run.Abandoned(executor.Settings.Abandon) {
			executor.event(recorder.KindCancelled, id, "Cause=nobody reads it")
			run.stop()
		}
	}
}

// forget drops what need not be remembered, with the mutex held.
func (executor *Executor) forget() {
	if len(executor.ledger.records) > executor.Settings.Records {
		executor.ledger.turn(executor.Settings)
	}

	for _, id := range executor.ledger.forget(executor.Settings) {
		delete(executor.runs, id)
	}
}

func (executor *Executor) retain(id string, run *Run) {
	executor.mutex.Lock()
	defer executor.mutex.Unlock()

	executor.ledger.add(id, run, run.size())
	executor.forget()
}

func (executor *Executor) event(kind recorder.Kind, id string, details ...string) {
	executor.Recorder.Record(recorder.Event{Part: "executor", Kind: kind, RequestID: id, Details: details})
}
