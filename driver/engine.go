package driver

import (
	"context"

	"limpetrail/kernel"
)

// Generation is one request to a model engine.
type Generation struct {
	// ID identifies the stream at the engine, for Cancel.
	ID      string
	Path    string
	Body    []byte
	Adapter string
	// Prefix holds the tokens of an interrupted stream, after which the engine
	// continues.
	Prefix []string
}

// Token is one element of a stream.
type Token struct {
	// Index counts from 0 over the whole answer, including the tokens of
	// Generation.Prefix.
	Index int
	Text  string
	// Finish is set on the last token: "stop" or "length".
	Finish string
	// PromptTokens is set on the last token.
	PromptTokens int
}

// Stream yields the tokens of one answer in order.
type Stream interface {
	// Next returns the next token. io.EOF follows the last; any other error
	// means that the stream is interrupted and may be resumed.
	Next() (Token, error)
	Close() error
}

// Load is an engine's report of its load, which may be out of date.
type Load struct {
	Running int
	Waiting int
	// CacheShare is the used share of the KV cache, 0 to 1.
	CacheShare float64
	// Models lists the loaded models, as model@version or model@version+adapter.
	Models []string
}

// Order changes what an engine serves.
type Order struct {
	// Fence is the planner's fencing number. Some engines refuse an order with a
	// lower one than they have seen, others ignore it.
	Fence   uint64
	Verb    Verb
	Model   string
	Version string
	Adapter string
	Role    string
}

// Verb is the kind of an order.
type Verb string

// Kinds of orders that engines accept.
const (
	VerbLoad   Verb = "Load"
	VerbUnload Verb = "Unload"
	VerbRole   Verb = "Role"
)

// Engine is a model engine.
type Engine interface {
	Generate(ctx context.Context, generation Generation) (Stream, error)
	// Cancel stops a stream. An unknown ID is no error.
	Cancel(ctx context.Context, id string) error
	Load(ctx context.Context) (Load, error)
	// Order returns a Forbidden error if the engine refused the fencing number.
	Order(ctx context.Context, order Order) error
}

// EngineFactory creates an Engine for an address from the settings.
type EngineFactory func(common kernel.Common, address string) (Engine, error)

// EngineAdapters holds the factories of engine adapters by name.
var EngineAdapters = kernel.NewRegistry[EngineFactory]("engine adapter")
