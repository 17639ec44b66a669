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
	"limpetrail/quarantiner"
	"limpetrail/recorder"
)

// Executor manages the runs of one sidecar.
type Executor struct {
	kernel.Common
	Settings Settings
	// Incarnation differs at every start of the process; see NewExecutor. The
	// process's own requests carry it; requests of entries carry Epoch.
	Incarnation uint64
	// Engine is nil when the backend server is a plain service.
	Engine driver.Engine
	// Quarantiner takes findings from requests and passes them on in answers, so that
	// entries learn from each other by way of sidecars.
	Quarantiner *quarantiner.Quarantiner
	// Service is nil when the backend server is a model engine.
	Service  driver.Service
	Admitter admitter.Admitter

	mutex sync.Mutex
	// runs holds unfinished runs and the ended ones that replayGuard remembers,
	// including revoked IDs.
	runs        map[string]*Run
	replayGuard replayGuard
	draining    bool
	// drainStarted is when draining started.
	drainStarted time.Time
	// cachedReport is the load report that data frames share for LoadAge.
	cachedReport   *messenger.LoadReport
	cachedReportAt time.Time
	serverEnds     serverEnds
	// startContext ends LeavingStart after draining started; no run starts at the
	// backend server after that.
	startContext context.Context //nolint:containedctx // It bounds the waits of all runs.
	forbidStarts context.CancelFunc
	// context is the parent of every run's context.
	context context.Context //nolint:containedctx // Runs outlive the connection that submitted them.
	// activeRuns counts the unfinished runs.
	activeRuns sync.WaitGroup
}

// Option configures an Executor at construction.
type Option func(*Executor)

// WithEngine sets the model engine of the backend server.
func WithEngine(engine driver.Engine) Option {
	return func(executor *Executor) { executor.Engine = engine }
}

// WithService sets the plain service of the backend server.
func WithService(service driver.Service) Option {
	return func(executor *Executor) { executor.Service = service }
}

// WithSettings sets the settings.
func WithSettings(settings Settings) Option {
	return func(executor *Executor) { executor.Settings = settings }
}

// NewExecutor returns an executor whose runs stop when the context ends. The
// incarnation is random: it must differ between starts of a sidecar, but need
// not increase.
func NewExecutor(ctx context.Context, common kernel.Common, admission admitter.Admitter, options ...Option) *Executor {
	guard := newReplayGuard(rand.Uint64())
	executor := &Executor{
		Common:      common.ForPart("executor"),
		Settings:    DefaultSettings(),
		Incarnation: guard.incarnation,
		Admitter:    admission,
		Quarantiner: quarantiner.NewQuarantiner(common, nil),
		runs:        map[string]*Run{},
		replayGuard: guard,
		context:     ctx,
	}
	executor.startContext, executor.forbidStarts = context.WithCancel(ctx) //nolint:gosec // Drain calls it.

	for _, option := range options {
		option(executor)
	}

	return executor
}

// Epoch returns the epoch that new requests of entries must carry.
func (executor *Executor) Epoch() uint64 {
	executor.mutex.Lock()
	defer executor.mutex.Unlock()

	return executor.replayGuard.newestEpoch
}

// Submit records the request and starts executing it, or returns the existing
// run of the same ID. After an error the request is NotRun and never runs here.
// Only the process's own requests may carry the incarnation instead of an epoch.
func (executor *Executor) Submit(request *messenger.ExecuteRequest) (*Run, error) {
	executor.mutex.Lock()
	defer executor.mutex.Unlock()

	id := request.GetRequestId()

	// A known ID cannot start twice, so its epoch needs no check.
	if run, found := executor.runs[id]; found {
		return run, nil
	}

	if epoch := request.GetIncarnation(); epoch != executor.Incarnation && !executor.replayGuard.accepts(epoch) {
		return nil, errors.Forbiddenf("request for another start of %s", executor.Instance)
	}

	if executor.draining {
		return nil, errors.Forbiddenf("new work: %s is leaving", executor.Instance)
	}

	maxRemaining := uint64(executor.Settings.MaxRemaining / time.Microsecond)
	request.RemainingMicros = min(request.GetRemainingMicros(), maxRemaining)

	ctx, cancel := context.WithCancel(executor.context)
	run := NewRun(request, cancel)
	executor.runs[id] = run
	executor.activeRuns.Add(1)
	executor.recordEvent(recorder.KindAccepted, id, "Service="+request.GetService(), "Firm="+request.GetFirm())

	go func() {
		defer executor.activeRuns.Done()
		defer cancel()

		executor.execute(ctx, run)
		executor.recordEnd(id, run)
	}()

	return run, nil
}

// Find returns the run with the given request ID, or nil.
func (executor *Executor) Find(id string) *Run {
	executor.mutex.Lock()
	defer executor.mutex.Unlock()

	return executor.runs[id]
}

// Revoke prevents a request that has not started from ever starting, even if it
// has not arrived yet. With cancel, a running request is stopped as well. The
// result is the request's fate and the number of events of its answer. The fate
// is unknown if the ID is unknown and the epoch no longer accepted: the request
// may have ended so long ago that it was forgotten.
func (executor *Executor) Revoke(id string, epoch uint64, cancel bool) (messenger.Fate, uint64) {
	run := executor.findOrRevoke(id, epoch)
	if run == nil {
		return messenger.Fate_FATE_UNKNOWN, 0
	}

	fate, offset := run.Revoke()
	executor.recordEvent(recorder.KindRevoked, id, "Fate="+fate.String())

	if cancel && fate == messenger.Fate_FATE_RUNNING {
		run.stop()
	}

	return fate, offset
}

// findOrRevoke returns the run with the given ID. An unknown ID gets a revoked
// run, so that a copy of the request that arrives later is refused. It returns
// nil when the epoch is no longer accepted.
func (executor *Executor) findOrRevoke(id string, epoch uint64) *Run {
	executor.mutex.Lock()
	defer executor.mutex.Unlock()

	if run, found := executor.runs[id]; found {
		return run
	}

	if !executor.replayGuard.accepts(epoch) {
		return nil
	}

	run := NewRun(&messenger.ExecuteRequest{RequestId: id}, func() {})
	run.Revoke()
	executor.runs[id] = run
	executor.replayGuard.add(id, run, 0)
	executor.evict()

	return run
}

// Drain makes the executor refuse all new requests.
func (executor *Executor) Drain() {
	executor.mutex.Lock()
	defer executor.mutex.Unlock()

	if !executor.draining {
		executor.draining = true
		executor.drainStarted = time.Now()
		time.AfterFunc(executor.Settings.LeavingStart, executor.forbidStarts)
		executor.Log.Info("Draining.")
		executor.recordEvent(recorder.KindDraining, "")
	}
}

// Wait blocks until every run has ended.
func (executor *Executor) Wait() {
	executor.activeRuns.Wait()
}

// Linger keeps a drained sidecar up for Settings.Linger after its last run, so
// that callers can still read its answers and refusals.
func (executor *Executor) Linger(ctx context.Context) {
	executor.mutex.Lock()
	quietSince := executor.drainStarted
	if last := executor.replayGuard.lastEnd(); last.After(quietSince) {
		quietSince = last
	}
	executor.mutex.Unlock()

	select {
	case <-time.After(time.Until(quietSince.Add(executor.Settings.Linger))):
	case <-ctx.Done():
	}
}

// cachedLoad returns the load report for a data frame. It is reused for
// Settings.LoadAge because a stream sends a data frame for every token.
func (executor *Executor) cachedLoad() *messenger.LoadReport {
	executor.mutex.Lock()
	fresh := executor.cachedReport != nil &&
		executor.cachedReport.GetDraining() == executor.draining &&
		time.Since(executor.cachedReportAt) < executor.Settings.LoadAge
	cached := executor.cachedReport
	executor.mutex.Unlock()

	if fresh {
		return cached
	}

	report := executor.Load()

	executor.mutex.Lock()
	defer executor.mutex.Unlock()

	executor.cachedReport = report
	executor.cachedReportAt = time.Now()

	return report
}

// Load returns the sidecar's current load, which frames carry to the entries.
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

// Maintain drops expired answers and stops abandoned runs until the context ends.
func (executor *Executor) Maintain(ctx context.Context) {
	ticker := time.NewTicker(executor.Settings.Heartbeat)
	defer ticker.Stop()

	for {
		select {
		case <-ticker.C:
			executor.maintain()
		case <-ctx.Done():
			return
		}
	}
}

func (executor *Executor) maintain() {
	executor.mutex.Lock()
	defer executor.mutex.Unlock()

	executor.replayGuard.advanceEpoch(executor.Settings)
	executor.evict()

	for id, run := range executor.runs {
		// A non-idempotent run continues: stopping it would leave its effect
		// unknown, and its answer may still be read later.
		if run.Request.GetIdempotent() && run.IsAbandoned(executor.Settings.Abandon) {
			executor.recordEvent(recorder.KindCancelled, id, "Cause=nobody reads it")
			run.stop()
		}
	}
}

// evict drops expired answers and the runs whose IDs need not be remembered any
// more. The caller holds the mutex.
func (executor *Executor) evict() {
	if len(executor.replayGuard.endedRequests) > executor.Settings.Records {
		executor.replayGuard.advanceEpoch(executor.Settings)
	}

	for _, id := range executor.replayGuard.evict(executor.Settings) {
		delete(executor.runs, id)
	}
}

// recordEnd remembers an ended run.
func (executor *Executor) recordEnd(id string, run *Run) {
	executor.mutex.Lock()
	defer executor.mutex.Unlock()

	executor.replayGuard.add(id, run, run.retainedBytes())
	executor.evict()
}

func (executor *Executor) recordEvent(kind recorder.Kind, id string, details ...string) {
	executor.Recorder.Record(recorder.Event{Part: "executor", Kind: kind, RequestID: id, Details: details})
}
