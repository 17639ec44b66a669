// Package admitter decides at the sidecar which requests the engine sees and
// when: online requests first, batch items in what is left.
package admitter

import (
	"context"
	"time"

	"limpetrail/classifier"
)

// Ticket describes a request that wants to run.
type Ticket struct {
	RequestID string
	Firm      string
	Batch     bool
	// Deadline is when the caller no longer wants the answer. An online
	// request that cannot start in time is refused at once.
	Deadline time.Time
	// Due is when the batch job is due; zero for online requests.
	Due time.Time
	// Alone asks to run with no other batch item.
	Alone bool
}

// Place is the right to run at the engine. Exactly one Leave ends it.
type Place interface {
	// Preempted is closed when a batch place must be given up at once.
	Preempted() <-chan struct{}
	// Token reports that the engine produced a token.
	Token()
	// Leave gives the place back.
	Leave()
}

// Report is the admitter's view of the load.
type Report struct {
	RunningOnline int
	QueuedOnline  int
	RunningBatch  int
	// Limit is how many online requests may run at once.
	Limit      int
	FirstToken time.Duration
	// BatchRoom is how many further batch items could start now.
	BatchRoom int
}

// Admitter hands out places.
type Admitter interface {
	// Enter waits for a place. A nil place means refusal, and the outcome
	// says why and when to come back.
	Enter(ctx context.Context, ticket Ticket) (Place, classifier.Outcome)
	Report() Report
}
