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

// Texts in a request's body that make the engine misbehave.
const (
	// TextUncompletable makes the engine reject the request each time.
	TextUncompletable = "UNCOMPLETABLE"
	// TextFatal makes the engine die each time it runs the request.
	TextFatal = "FATAL"
)

// Engine stands in for a model engine with continuous batching. It knows no
// priorities and admits requests as they come.
type Engine struct {
	Faults *Faults
	Steps  StepModel
	// Restart is how long the engine is gone after a fatal request.
	Restart time.Duration

	mutex sync.Mutex
	// streams are in order of arrival; the first MaxStreams of them run.
	streams []*engineStream
	cache   *prefixCache
	// reported is the load report that callers see, made at reportedAt.
	reported   driver.Load
	reportedAt time.Time
	// starts counts the streams started for each ID, for checks.
	starts map[string]int
	// fence is the highest fencing number seen.
	fence  uint64
	orders []driver.Order
	models map[string]bool
	// stepTime is the length of the step in progress.
	stepTime time.Duration
	// lastStep is the length of the step that ended last.
	lastStep time.Duration
	// deadUntil is when a died engine is back.
	deadUntil time.Time
	// wake is signalled when a stream arrives at an idle engine.
	wake chan struct{}
}

var (
	_ driver.Engine = (*Engine)(nil)
	_ driver.Stream = (*engineStream)(nil)
)

const (
	defaultMaxTokens = 16
	defaultRestart   = 200 * time.Millisecond
	// maxAnswer is the most tokens of an answer.
	maxAnswer = 4096
)

// EngineOption changes an Engine at construction.
type EngineOption func(*Engine)

// WithSteps sets the step model.
func WithSteps(steps StepModel) EngineOption {
	return func(engine *Engine) { engine.Steps = steps }
}

// NewEngine returns an engine; Run makes it work.
func NewEngine(options ...EngineOption) *Engine {
	engine := &Engine{
		Faults:  NewFaults(),
		Steps:   DefaultStepModel(),
		Restart: defaultRestart,
		starts:  map[string]int{},
		models:  map[string]bool{},
		wake:    make(chan struct{}, 1),
	}
	for _, option := range options {
		option(engine)
	}

	engine.cache = newPrefixCache(engine.Steps.CacheBlocks)

	return engine
}

// Run takes steps until the context ends.
func (engine *Engine) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := engine.nextStep()
		if pause == 0 {
			select {
			case <-engine.wake:
			case <-ctx.Done():
			}

			continue
		}

		select {
		case <-time.After(pause):
			engine.step()
		case <-ctx.Done():
		}
	}
}

// Generate implements driver.Engine.
func (engine *Engine) Generate(ctx context.Context, generation driver.Generation) (driver.Stream, error) {
	if !engine.Faults.Wait(ctx.Done()) {
		return nil, errors.Trace(errOutage)
	}

	if strings.Contains(string(generation.Body), TextUncompletable) {
		return nil, errors.NotValidf("request that this model can complete")
	}

	engine.mutex.Lock()
	defer engine.mutex.Unlock()

	if time.Now().Before(engine.deadUntil) {
		return nil, errors.Trace(errOutage)
	}

	stream := newEngineStream(ctx, generation)
	engine.starts[generation.ID]++
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

	for _, stream := range engine.streams {
		if stream.generation.ID == id {
			stream.cancelled = true
		}
	}

	return nil
}

// Load implements driver.Engine.
func (engine *Engine) Load(ctx context.Context) (driver.Load, error) {
	if !engine.Faults.Wait(ctx.Done()) {
		return driver.Load{}, errors.Trace(errOutage)
	}

	engine.mutex.Lock()
	defer engine.mutex.Unlock()

	if time.Now().Before(engine.deadUntil) {
		return driver.Load{}, errors.Trace(errOutage)
	}

	if time.Since(engine.reportedAt) >= engine.Steps.ReportLag {
		engine.reported = engine.measure()
		engine.reportedAt = time.Now()
	}

	load := engine.reported
	for model := range engine.models {
		load.Models = append(load.Models, model)
	}

	return load, nil
}

// measure returns the present load, with the mutex held.
func (engine *Engine) measure() driver.Load {
	running := engine.width()
	load := driver.Load{Running: running, Waiting: len(engine.streams) - running}

	if engine.Steps.MaxStreams > 0 {
		load.CacheShare = float64(running) / float64(engine.Steps.MaxStreams)
	}

	return load
}

// width returns how many streams a step carries now, with the mutex held.
func (engine *Engine) width() int {
	if engine.Steps.MaxStreams > 0 {
		return min(len(engine.streams), engine.Steps.MaxStreams)
	}

	return len(engine.streams)
}

// Order implements driver.Engine.
func (engine *Engine) Order(ctx context.Context, order driver.Order) error {
	if !engine.Faults.Wait(ctx.Done()) {
		return errors.Trace(errOutage)
	}

	engine.mutex.Lock()
	defer engine.mutex.Unlock()

	if order.Fence < engine.fence && !engine.Faults.Get().IgnoreFence {
		return errors.Forbiddenf("fencing number %d below %d", order.Fence, engine.fence)
	}

	engine.fence = max(engine.fence, order.Fence)
	engine.orders = append(engine.orders, order)

	name := order.Model + "@" + order.Version
	if order.Adapter != "" {
		name += "+" + order.Adapter
	}

	switch order.Verb {
	case driver.VerbLoad:
		engine.models[name] = true
	case driver.VerbUnload:
		delete(engine.models, name)
	case driver.VerbRole:
	}

	return nil
}

// Starts returns how often a stream was started for the ID.
func (engine *Engine) Starts(id string) int {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()

	return engine.starts[id]
}

// Orders returns the orders obeyed.
func (engine *Engine) Orders() []driver.Order {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()

	return append([]driver.Order{}, engine.orders...)
}

// StepTime returns the length of the step in progress, or of the last one.
func (engine *Engine) StepTime() time.Duration {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()

	return engine.stepTime
}

// LastStep returns the length of the step that ended last.
func (engine *Engine) LastStep() time.Duration {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()

	return engine.lastStep
}

// nextStep returns the time of the coming step, or 0 when nothing runs.
func (engine *Engine) nextStep() time.Duration {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()

	engine.sweep()

	if len(engine.streams) == 0 {
		return 0
	}

	prompt := 0

	running := engine.streams[:engine.width()]
	for _, stream := range running {
		if !stream.prefilled {
			stream.prefilled = true
			prompt += len(stream.words) - engine.cache.read(blockNames(stream.words))
		}
	}

	engine.stepTime = engine.Steps.Step(len(running), prompt)

	return engine.stepTime
}

// step yields one token of each stream that the step began with.
func (engine *Engine) step() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()

	if frozen := engine.Faults.Get(); frozen.Freeze || frozen.Silent {
		return
	}

	engine.lastStep = engine.stepTime

	for _, stream := range engine.streams {
		if stream.fatal && stream.prefilled {
			engine.die()

			return
		}
	}

	for _, stream := range engine.streams {
		if stream.prefilled {
			stream.yield()
		}
	}
}

// die breaks every stream, with the mutex held.
func (engine *Engine) die() {
	for _, stream := range engine.streams {
		stream.fail(errors.Trace(io.ErrUnexpectedEOF))
	}

	engine.streams = nil
	engine.deadUntil = time.Now().Add(engine.Restart)
}

// sweep removes finished and cancelled streams, with the mutex held.
func (engine *Engine) sweep() {
	kept := engine.streams[:0]

	for _, stream := range engine.streams {
		switch {
		case stream.ended:
		case stream.cancelled || stream.context.Err() != nil:
			// What a cancelled stream has computed stays for its resumption.
			engine.cache.hold(blockNames(stream.words))
			stream.fail(errors.Trace(context.Canceled))
		default:
			kept = append(kept, stream)
		}
	}

	engine.streams = kept
}
