package placer

import "time"

// Work is a request that needs a place.
type Work struct {
	RequestID string
	Service   string
	// Workspace is the caller's workspace; empty if it has none.
	Workspace string
	// Priority is 0 for the most urgent.
	Priority int
	// MaxWait is the longest wait in the queue after which the answer is still in time.
	MaxWait time.Duration
	// Elapsed is how much of its time the caller had used when the request arrived here. A
	// caller that was refused before has used some.
	Elapsed time.Duration
	// Prefix is the hash of the shared part of the prompt; 0 for none.
	Prefix uint64
	// Due is when the result of batch work is due; zero for online work.
	Due time.Time
	// Continues is true for work that goes on with a stream which began at Software. Only
	// servers of that version can take it.
	Continues bool
	Software  string
	// Spare work runs elsewhere, at a server that is silent. Its caller is not told when to retry.
	Spare bool
	// Idle restricts batch work to servers at which nothing is known to run.
	Idle bool
	// Exclude holds the IDs of servers that were tried already.
	Exclude []string
}

// Verdict is the outcome of a placement.
type Verdict int

// Verdicts.
const (
	// Placed means that the work has a grant.
	Placed Verdict = iota
	// Refused means that the work can't be served in time.
	Refused
	// NoServer means that the service has no usable server.
	NoServer
	// CallerGone means that the caller's context ended while the work was queued.
	CallerGone
)

// String returns the verdict's name in logs.
func (verdict Verdict) String() string {
	return [...]string{"Placed", "Refused", "Absent", "Left"}[verdict]
}

// Decision is a verdict with the figures behind it.
type Decision struct {
	Verdict Verdict
	// Grant is set for placed work and must be released.
	Grant *Grant
	// RetryAfter is the time after which a refused caller should retry.
	RetryAfter time.Duration
	// Waited is how long the work was queued.
	Waited time.Duration
	// ExpectedWait is the expected wait on arrival.
	ExpectedWait time.Duration
	// FreePlaces is the number of free places on usable servers on arrival.
	FreePlaces int
	// QueuedAhead is the number of requests that were ahead in the queue.
	QueuedAhead int
}
