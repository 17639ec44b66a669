package executor

import (
	"context"
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
	// Incarnation differs at every start of the process; see NewExecutor.
	Incarnation uint64
	// Engine is nil when the backend server is a plain service.
	Engine driver.Engine
	// Service is nil when the backend server is a model engine.
	Service  driver.Service
	Admitter admitter.Admitter

	mutex sync.Mutex
	// runs holds unfinished runs, finished ones whose answer is kept, and
	// revoked IDs, which must outlast every delayed copy of their request.
	runs map[string]*Run
	// finished lists finished runs in order of their end.
	finished []finishedRun
	// retained is the sum of the bytes of finished.
	retained int
	draining bool
	// context ends all work; set by Serve.
	context context.Context //nolint:containedctx // Runs outlive the connection that brought them.
	// active counts the runs that have not ended.
	active sync.WaitGroup
}

type finishedRun struct {
	id    string
	bytes int
	at    time.Time
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
// incarnation is the wall clock in nanoseconds: what counts is that no two
// starts of a sidecar share it, not their order.
func NewExecutor(ctx context.Context, common kernel.Common, admission admitter.Admitter, options ...Option) *Executor {
	executor := &Executor{
		Common:      common.ForPart("executor"),
		Settings:    DefaultSettings(),
		Incarnation: uint64(time.Now().UnixNano()),
		Admitter:    admission,
		runs:        map[string]*Run{},
		context:     ctx,
	}
	for _, option := range options {
		option(executor)
	}

	return executor
}

// Submit records the request and starts to work on it, or joins the run of the
// same ID. The error says why it will never run here; it is then NotRun.
func (executor *Executor) Submit(request *messenger.ExecuteRequest) (*Run, error) {
	executor.mutex.Lock()
	defer executor.mutex.Unlock()

	id := request.GetRequestId()

	if request.GetIncarnation() != executor.Incarnation {
		return nil, errors.Forbiddenf("request for another start of %s", executor.Instance)
	}

	if run, found := executor.runs[id]; found {
		return run, nil
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
// it has not arrived yet. With cancel a running one is stopped too.
func (executor *Executor) Revoke(id string, incarnation uint64, cancel bool) (messenger.Fate, uint64) {
	if incarnation != executor.Incarnation {
		return messenger.Fate_FATE_UNKNOWN, 0
	}

	run := executor.findOrBar(id)
	fate, offset := run.Revoke()
	executor.event(recorder.KindRevoked, id, "Fate="+fate.String())

	if cancel && fate == messenger.Fate_FATE_RUNNING {
		run.stop()
	}

	return fate, offset
}

// findOrBar returns the run of that ID; an unknown ID gets a revoked run, so
// that a copy that arrives later is refused.
func (executor *Executor) findOrBar(id string) *Run {
	executor.mutex.Lock()
	defer executor.mutex.Unlock()

	if run, found := executor.runs[id]; found {
		return run
	}

	run := NewRun(&messenger.ExecuteRequest{RequestId: id}, func() {})
	run.Revoke()
	executor.runs[id] = run
	executor.finished = append(executor.finished, finishedRun{id: id, at: time.Now()})

	return run
}

// Drain refuses all new work from now on.
func (executor *Executor) Drain() {
	executor.mutex.Lock()
	defer executor.mutex.Unlock()

	if !executor.draining {
		executor.draining = true
		executor.Log.Info("Draining.")
		executor.event(recorder.KindDraining, "")
	}
}

// Wait returns when every run has ended.
func (executor *Executor) Wait() {
	executor.active.Wait()
}

// Load returns the report that rides on every frame.
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

	for len(executor.finished) > 0 && executor.expired(executor.finished[0]) {
		executor.retained -= executor.finished[0].bytes
		delete(executor.runs, executor.finished[0].id)
		executor.finished = executor.finished[1:]
	}

	for id, run := range executor.runs {
		// A non-idempotent run goes on: stopping it would leave its effect
		// unknown, and its answer may be asked for again.
		if run.Request.GetIdempotent() && run.Abandoned(executor.Settings.Abandon) {
			executor.event(recorder.KindCancelled, id, "Cause=nobody reads it")
			run.stop()
		}
	}
}

func (executor *Executor) expired(finished finishedRun) bool {
	overfull := executor.retained > executor.Settings.RetainBytes && finished.bytes > 0

	return overfull || time.Since(finished.at) > executor.Settings.Retain
}

func (executor *Executor) retain(id string, run *Run) {
	executor.mutex.Lock()
	defer executor.mutex.Unlock()

	run.mutex.Lock()
	bytes := run.bytes
	run.mutex.Unlock()

	executor.retained += bytes
	executor.finished = append(executor.finished, finishedRun{id: id, bytes: bytes, at: time.Now()})
}

func (executor *Executor) event(kind recorder.Kind, id string, details ...string) {
	executor.Recorder.Record(recorder.Event{Part: "executor", Kind: kind, RequestID: id, Details: details})
}
