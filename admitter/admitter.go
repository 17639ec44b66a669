// Package admitter is the sidecar's admission control. It decides when each
// request may run at the engine: online requests go first, batch items get the
// remaining capacity.
package admitter

import (
	"context"
	"time"

	"limpetrail/classifier"
)

// PlaceRequest describes a request that asks for a place.
type PlaceRequest struct {
	RequestID string
	Firm      string
	Batch     bool
	// Deadline is when the caller stops waiting for the answer. An online
	// request that cannot start in time is refused at once.
	Deadline time.Time
	// Due is when the batch job is due; zero for online requests.
	Due time.Time
	// Alone asks that no other batch item runs at the same time.
	Alone bool
}

// Place is the right to run one request at the engine, until it is released.
type Place interface {
	// Preempted is closed when a batch item must give up its place at once.
	Preempted() <-chan struct{}
	// RecordToken records that the engine produced a token.
	RecordToken()
	// Release releases the place. It is called exactly once.
	Release()
}

// Report is the admitter's current load.
type Report struct {
	RunningOnline int
	QueuedOnline  int
	RunningBatch  int
	// Limit is how many online requests may run at once.
	Limit int
	// FirstToken is the moving average of the time to the first online token.
	FirstToken time.Duration
	// BatchCapacity is how many further batch items could start now.
	BatchCapacity int
}

// Admitter grants places.
type Admitter interface {
	// Acquire waits for a place. If the returned place is nil, the request was
	// refused, and the outcome says why and when to retry.
	Acquire(ctx context.Context, request PlaceRequest) (Place, classifier.Outcome)
	Report() Report
}
