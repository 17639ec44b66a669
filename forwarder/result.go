package forwarder

import "time"

// Kind is how a call ended.
type Kind int

// Kinds of ends.
const (
	// Answered means that a backend server's whole answer was passed on.
	Answered Kind = iota
	// Refused means that the call has not run and will not.
	Refused
	// Failed means that it may have run and there is no answer.
	Failed
	// TimedOut means that its time is over, and it may have run.
	TimedOut
	// Broken means that the answer ended early, after its head was passed on.
	Broken
	// Left means that the caller is gone.
	Left
)

// String names the kind in logs and metrics.
func (kind Kind) String() string {
	return [...]string{"Answered", "Refused", "Failed", "TimedOut", "Broken", "Left"}[kind]
}

// Result is how a call ended, and why.
type Result struct {
	Kind Kind
	// RetryAfter is when to come back, for a refused call.
	RetryAfter time.Duration
	// Reason is a short sentence for logs and the caller.
	Reason string
	// Status is the backend server's, for an answered call.
	Status int
	// Attempts is how many backend servers may have run the call.
	Attempts int
	// Events is how many events were passed on.
	Events int
	// First is the time to the first bytes passed on; 0 if there were none.
	First time.Duration
	// Waited is the time in the queue.
	Waited time.Duration
	// BackendServer is the last one that was tried.
	BackendServer string
}
