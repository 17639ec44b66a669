package emulator

import (
	"context"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"limpetrail/driver"
)

// Texts in a request's body that trigger a fault of the engine.
const (
	// TextUncompletable makes the engine always reject the request.
	TextUncompletable = "UNCOMPLETABLE"
	// TextFatal makes the engine crash each time it runs the request.
	TextFatal = "FATAL"
)

// Engine emulates a model engine with continuous batching. It has no priorities and
// admits requests in order of arrival.
type Engine struct {
	Faults *Faults
	Steps  StepModel
	// RestartTime is how long the engine is down after a crash.
	RestartTime time.Duration

	mutex sync.Mutex
	// streams holds all streams in order of arrival; the first MaxStreams of them run.
	streams []*engineStream
	cache   *prefixCache
	// reportedLoad is the load that callers see, measured at reportedAt.
	reportedLoad driver.Load
	reportedAt   time.Time
	// startCounts is the number of streams started for each ID.
	startCounts map[string]int
	// fence is the highest fencing number seen.
	fence        uint64
	obeyedOrders []driver.Order
	loadedModels map[string]bool
	// stepTime is the duration of the step in progress.
	stepTime time.Duration
	// lastStepTime is the duration of the last completed step.
	lastStepTime time.Duration
	// downUntil is when a crashed engine is up again.
	downUntil time.Time
	// wake is signalled when a stream arrives at an idle engine.
	wake chan struct{}
}

var (
	_ driver.Engine = (*Engine)(nil)
	_ driver.Stream = (*engineStream)(nil)
)

const (
	defaultMaxTokens   = 16
	defaultRestartTime = 200 * time.Millisecond
	// maxAnswerTokens is the maximum number of tokens of an answer.
	maxAnswerTokens = 4096
)

// EngineOption configures a new Engine.
type EngineOption func(*Engine)

// WithSteps sets the step model.
func WithSteps(steps StepModel) EngineOption {
	return func(engine *Engine) { engine.Steps = steps }
}

// NewEngine returns an engine. It produces tokens while Run runs.
func NewEngine(options ...EngineOption) *Engine {
	engine := &Engine{
		Faults:       NewFaults(),
		Steps:        DefaultStepModel(),
		RestartTime:  defaultRestartTime,
		startCounts:  map[string]int{},
		loadedModels: map[string]bool{},
		wake:         make(chan struct{}, 1),
	}
	for _, option := range options {
		option(engine)
	}

	engine.cache = newPrefixCache(engine.Steps.CacheBlocks)

	return engine
}

// Run runs steps until the context ends.
func (engine *Engine) Run(ctx context.Context) {
	for ctx.Err() == nil {
		duration := engine.startStep()
		if duration == 0 {
			select {
			case <-engine.wake:
			case <-ctx.Done():
			}

			continue
		}

		select {
		case <-time.After(duration):
			engine.finishStep()
		case <-ctx.Done():
		}
	}
}

// Generate implements driver.Engine.
func (engine *Engine) Generate(ctx context.Context, generation driver.Generation) (driver.Stream, error) {
	if !engine.Faults.Apply(ctx.Done()) {
		return nil, errors.Trace(errOutage)
	}

	if strings.Contains(string(generation.Body), TextUncompletable) {
		return nil, errors.NotValidf("request that this model can complete")
	}

	engine.mutex.Lock()
	defer engine.mutex.Unlock()

	if time.Now().Before(engine.downUntil) {
		return nil, errors.NewNotProvisioned(errOutage, "connecting")
	}

	stream := newEngineStream(ctx, generation)
	engine.startCounts[generation.ID]++
	engine.streams = append(engine.streams, stream)

	select {
	case engine.wake <- struct{}{}:
	default:
	}

	return stream, nil
}

// Cancel implements driver.Engine.
func (engine *Engine) Cancel(_ context.Context, id string) error {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()

	if time.Now().Before(engine.downUntil) {
		return errors.NewNotProvisioned(errOutage, "connecting")
	}

	for _, stream := range engine.streams {
		if stream.generation.ID == id {
			stream.cancelled = true
		}
	}

	return nil
}

// Load implements driver.Engine.
func (engine *Engine) Load(ctx context.Context) (driver.Load, error) {
	if !engine.Faults.Apply(ctx.Done()) {
		return driver.Load{}, errors.Trace(errOutage)
	}

	engine.mutex.Lock()
	defer engine.mutex.Unlock()

	if time.Now().Before(engine.downUntil) {
		return driver.Load{}, errors.Trace(errOutage)
	}

	if time.Since(engine.reportedAt) >= engine.Steps.ReportLag {
		engine.reportedLoad = engine.currentLoad()
		engine.reportedAt = time.Now()
	}

	load := engine.reportedLoad
	for model := range engine.loadedModels {
		load.Models = append(load.Models, model)
	}

	return load, nil
}

// currentLoad returns the current load. The caller holds the mutex.
func (engine *Engine) currentLoad() driver.Load {
	running := engine.batchSize()
	load := driver.Load{Running: running, Waiting: len(engine.streams) - running}

	if engine.Steps.MaxStreams > 0 {
		load.CacheShare = float64(running) / float64(engine.Steps.MaxStreams)
	}

	return load
}

// batchSize returns the number of running streams. The caller holds the mutex.
func (engine *Engine) batchSize() int {
	if engine.Steps.MaxStreams > 0 {
		return min(len(engine.streams), engine.Steps.MaxStreams)
	}

	return len(engine.streams)
}

// Order implements driver.Engine.
func (engine *Engine) Order(ctx context.Context, order driver.Order) error {
	if !engine.Faults.Apply(ctx.Done()) {
		return errors.Trace(errOutage)
	}

	engine.mutex.Lock()
	defer engine.mutex.Unlock()

	if order.Fence < engine.fence && !engine.Faults.Get().IgnoreFence {
		return errors.Forbiddenf("fencing number %d below %d", order.Fence, engine.fence)
	}

	engine.fence = max(engine.fence, order.Fence)
	engine.obeyedOrders = append(engine.obeyedOrders, order)

	name := order.Model + "@" + order.Version
	if order.Adapter != "" {
		name += "+" + order.Adapter
	}

	switch order.Verb {
	case driver.VerbLoad:
		engine.loadedModels[name] = true
	case driver.VerbUnload:
		delete(engine.loadedModels, name)
	case driver.VerbRole:
	}

	return nil
}

// StartCount returns how many streams were started for the ID.
func (engine *Engine) StartCount(id string) int {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()

	return engine.startCounts[id]
}

// ObeyedOrders returns the orders that the engine carried out.
func (engine *Engine) ObeyedOrders() []driver.Order {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()

	return append([]driver.Order{}, engine.obeyedOrders...)
}

// CurrentStepTime returns the duration of the step in progress, or of the last one if the
// engine is idle.
func (engine *Engine) CurrentStepTime() time.Duration {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()

	return engine.stepTime
}

// LastStepTime returns the duration of the last completed step.
func (engine *Engine) LastStepTime() time.Duration {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()

	return engine.lastStepTime
}

// startStep starts a step and returns its duration, or 0 if there are no streams.
func (engine *Engine) startStep() time.Duration {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()

	engine.removeEndedStreams()

	if len(engine.streams) == 0 {
		return 0
	}

	promptTokens := 0

	running := engine.streams[:engine.batchSize()]
	for _, stream := range running {
		if !stream.prefilled {
			stream.prefilled = true
			promptTokens += len(stream.words) - engine.cache.lookUp(blockHashes(stream.words))
		}
	}

	engine.stepTime = engine.Steps.Step(len(running), promptTokens)

	return engine.stepTime
}

// finishStep produces one token for each stream that was running when the step
// started.
func (engine *Engine) finishStep() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()

	if faults := engine.Faults.Get(); faults.Freeze || faults.Silent {
		return
	}

	engine.lastStepTime = engine.stepTime

	for _, stream := range engine.streams {
		if stream.crashesEngine && stream.prefilled {
			engine.crash()

			return
		}
	}

	for _, stream := range engine.streams {
		if stream.prefilled {
			stream.produceToken()
		}
	}
}

// crash breaks all streams and takes the engine down for RestartTime. The caller holds
// the mutex.
func (engine *Engine) crash() {
	for _, stream := range engine.streams {
		stream.fail(errors.Trace(io.ErrUnexpectedEOF))
	}

	engine.streams = nil
	engine.downUntil = time.Now().Add(engine.RestartTime)
}

// removeEndedStreams removes finished and cancelled streams. The caller holds the
// mutex.
func (engine *Engine) removeEndedStreams() {
	active := engine.streams[:0]

	for _, stream := range engine.streams {
		switch {
		case stream.ended:
		case stream.cancelled || stream.context.Err() != nil:
			// The cache keeps what a cancelled stream has computed, for its resumption.
			engine.cache.store(blockHashes(stream.words))
			stream.fail(errors.Trace(context.Canceled))
		default:
			active = append(active, stream)
		}
	}

	engine.streams = active
}
