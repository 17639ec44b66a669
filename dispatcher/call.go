package dispatcher

import (
	"context"
	"time"

	"limpetrail/messenger"
	"limpetrail/router"
)

// Call is a request as the entry accepted it.
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
	// Plain marks a call of a plain service.
	Plain bool
	// Deadline is when the caller no longer wants the answer.
	Deadline time.Time
	// PrefixKeys are hashes of the prompt's leading blocks for the router.
	PrefixKeys []uint64
	// Permit is asked right before an attempt leaves; nil permits all. A call
	// whose right to run is shared with others records the target here. An
	// error keeps the attempt from leaving and ends the call.
	Permit func(ctx context.Context, target Target) error
}

// End is what the last frame of an answer said.
type End struct {
	// AttemptID is the attempt whose sidecar keeps the end of the answer. It
	// differs from the ID of Begin when the answer went on elsewhere.
	AttemptID    string
	FinishReason string
	Status       int
	MediaType    string
	PromptTokens int
}

// Sink takes an answer as it arrives. Its methods are called in order from one
// goroutine. An error of a method ends the request: the caller is gone.
type Sink interface {
	// Begin is called once, before the first event, with the ID under which
	// the answer can be read again.
	Begin(requestID string) error
	Event(event []byte) error
	End(end End) error
}

// Target is where an attempt of a call is about to go.
type Target struct {
	Replica router.Replica
	// AttemptID is the ID that the sidecar will know the request by.
	AttemptID string
	// Incarnation is the number that the attempt carries; revoking it takes
	// the same number.
	Incarnation uint64
}
