package emulator

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"io"
	"strconv"
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

// StepModel gives the time of one step of continuous batching: every running
// stream yields a token each step.
type StepModel struct {
	// Base is the time of a step that carries one stream.
	Base time.Duration
	// PerStream is added for each further stream.
	PerStream time.Duration
	// PerPromptToken is added for each prompt token of a stream's first step
	// that the prefix cache does not hold.
	PerPromptToken time.Duration
}

// DefaultStepModel is fast enough for tests and a demo.
func DefaultStepModel() StepModel {
	return StepModel{Base: 2 * time.Millisecond, PerStream: 50 * time.Microsecond, PerPromptToken: 2 * time.Microsecond}
}

// Engine stands in for a model engine with continuous batching. It knows no
// priorities and admits requests as they come.
type Engine struct {
	Faults *Faults
	Steps  StepModel
	// Restart is how long the engine is gone after a fatal request.
	Restart time.Duration

	mutex   sync.Mutex
	streams []*engineStream
	// starts counts the streams started for each ID, for checks.
	starts map[string]int
	// fence is the highest fencing number seen.
	fence  uint64
	orders []driver.Order
	models map[string]bool
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
	// streamBuffer holds a whole answer, so that a slow reader stops nobody.
	streamBuffer = 4096
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

	load := driver.Load{Running: len(engine.streams)}
	for model := range engine.models {
		load.Models = append(load.Models, model)
	}

	return load, nil
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

// nextStep returns the time of the coming step, or 0 when nothing runs.
func (engine *Engine) nextStep() time.Duration {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()

	engine.sweep()

	if len(engine.streams) == 0 {
		return 0
	}

	pause := engine.Steps.Base + time.Duration(len(engine.streams)-1)*engine.Steps.PerStream
	for _, stream := range engine.streams {
		if !stream.prefilled {
			stream.prefilled = true
			pause += time.Duration(stream.promptTokens) * engine.Steps.PerPromptToken
		}
	}

	return pause
}

// step yields one token of each stream.
func (engine *Engine) step() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()

	if frozen := engine.Faults.Get(); frozen.Freeze || frozen.Silent {
		return
	}

	for _, stream := range engine.streams {
		if stream.fatal {
			engine.die()

			return
		}
	}

	for _, stream := range engine.streams {
		stream.yield()
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
			stream.fail(errors.Trace(context.Canceled))
		default:
			kept = append(kept, stream)
		}
	}

	engine.streams = kept
}

// engineStream is one running answer.
type engineStream struct {
	context    context.Context //nolint:containedctx // The stream ends with its caller.
	generation driver.Generation
	tokens     chan driver.Token
	failure    error
	// next is the index of the coming token.
	next         int
	maxTokens    int
	promptTokens int
	seed         string
	fatal        bool
	prefilled    bool
	cancelled    bool
	// ended is set once tokens is closed.
	ended bool
}

func newEngineStream(ctx context.Context, generation driver.Generation) *engineStream {
	settings := struct {
		MaxTokens int `json:"max_tokens"`
	}{MaxTokens: defaultMaxTokens}
	// A body that is no JSON gets the default length.
	_ = json.Unmarshal(generation.Body, &settings)

	return &engineStream{
		context:      ctx,
		generation:   generation,
		tokens:       make(chan driver.Token, streamBuffer),
		next:         len(generation.Prefix),
		maxTokens:    max(1, min(settings.MaxTokens, streamBuffer)),
		promptTokens: len(strings.Fields(string(generation.Body))),
		seed:         Seed(generation.Body),
		fatal:        strings.Contains(string(generation.Body), TextFatal),
	}
}

// Seed is the text that every token of the answer to this body carries, so
// that a check can tell whose answer it is.
func Seed(body []byte) string {
	hash := fnv.New32a()
	hash.Write(body)

	return strconv.FormatUint(uint64(hash.Sum32()), 36)
}

// TokenText is the text of one token of an answer.
func TokenText(seed string, index int) string {
	return seed + "." + strconv.Itoa(index) + " "
}

// Next implements driver.Stream.
func (stream *engineStream) Next() (driver.Token, error) {
	token, open := <-stream.tokens
	switch {
	case open:
		return token, nil
	case stream.failure != nil:
		return driver.Token{}, stream.failure
	default:
		return driver.Token{}, io.EOF
	}
}

// Close implements driver.Stream; the stream ends with its context.
func (stream *engineStream) Close() error { return nil }

func (stream *engineStream) yield() {
	token := driver.Token{Index: stream.next, Text: TokenText(stream.seed, stream.next)}
	stream.next++

	if stream.next >= stream.maxTokens {
		token.Finish = "length"
		token.PromptTokens = stream.promptTokens
	}

	stream.tokens <- token

	if token.Finish != "" {
		stream.end()
	}
}

func (stream *engineStream) fail(failure error) {
	stream.failure = failure
	stream.end()
}

func (stream *engineStream) end() {
	if !stream.ended {
		stream.ended = true
		close(stream.tokens)
	}
}
