package driver

import (
	"context"

	"limpetrail/kernel"
)

// Generation is one request to a model engine.
type Generation struct {
	// ID names the stream at the engine, for Cancel.
	ID      string
	Path    string
	Body    []byte
	Adapter string
	// Prefix holds the tokens of an interrupted stream; the engine resumes
	// after them.
	Prefix []string
}

// Token is one step of a stream.
type Token struct {
	// Index counts from 0 over the whole answer, resumed parts included.
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
	// means that the stream broke and may be resumed.
	Next() (Token, error)
	Close() error
}

// Load is an engine's report about itself, which lags.
type Load struct {
	Running int
	Waiting int
	// CacheShare is the occupied share of the KV cache, 0 to 1.
	CacheShare float64
	// Models lists what is loaded, as model@version or model@version+adapter.
	Models []string
}

// Order changes what an engine serves.
type Order struct {
	// Fence is the planner's term. Some engines refuse lower numbers than
	// they have seen, others ignore it.
	Fence   uint64
	Verb    Verb
	Model   string
	Version string
	Adapter string
	Role    string
}

// Verb is what an order asks for.
type Verb string

// Orders that engines accept.
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
	// Order returns a Forbidden error when the engine refused the fence.
	Order(ctx context.Context, order Order) error
}

// Factory builds an Engine for an address from the settings.
type Factory func(common kernel.Common, address string) (Engine, error)

// Adapters holds the adapters of model engines by name.
var Adapters = kernel.NewRegistry[Factory]("engine adapter")
