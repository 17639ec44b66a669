package dispatcher

import (
	"context"
	"time"

	"limpetrail/messenger"
	"limpetrail/router"
)

// Call is a request that the entry accepted.
type Call struct {
	// ID is unique for each accepted request; see NewRequestID.
	ID         string
	Class      messenger.Class
	Firm       string
	Workspace  string
	Service    string
	Adapter    string
	Path       string
	Body       []byte
	MediaType  string
	Idempotent bool
	// Plain marks a call of a plain service, as opposed to a model engine.
	Plain bool
	// Deadline is the time after which the answer is of no use to the caller.
	Deadline time.Time
	// PrefixKeys are hashes of the prompt's leading blocks, by which the router
	// finds a replica that has them cached.
	PrefixKeys []uint64
	// Permit is called right before an attempt is sent; nil permits all. A call
	// that another process could also run records its target here. After an
	// error the attempt is not sent and the call ends.
	Permit func(ctx context.Context, target Target) error
}

// End holds the details of the last frame of an answer.
type End struct {
	// AttemptID is the attempt whose sidecar stores the end of the answer. It
	// differs from the ID passed to Begin if another replica continued it.
	AttemptID    string
	FinishReason string
	Status       int
	MediaType    string
	PromptTokens int
}

// Sink receives an answer as it arrives. Its methods are called in order from one
// goroutine. An error of a method means that the caller has disconnected, and ends
// the request.
type Sink interface {
	// Begin is called once, before the first event, with the ID under which
	// the answer can be read again.
	Begin(requestID string) error
	Event(event []byte) error
	End(end End) error
}

// Target is the replica to which an attempt is about to be sent.
type Target struct {
	Replica router.Replica
	// AttemptID is the request's ID at the sidecar.
	AttemptID string
	// Incarnation is the sidecar's incarnation that the attempt carries. Revoking
	// the attempt needs the same one.
	Incarnation uint64
}
