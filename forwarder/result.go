package forwarder

import "time"

// Outcome is how a call ended.
type Outcome int

// Outcomes of a call.
const (
	// Answered means that a backend server's complete answer was passed on.
	Answered Outcome = iota
	// Refused means that the call has not run and will not run.
	Refused
	// Failed means that the call may have run but there is no answer.
	Failed
	// TimedOut means that the deadline passed; the call may have run.
	TimedOut
	// Broken means that the answer ended early, after its head was passed on.
	Broken
	// Cancelled means that the caller disconnected.
	Cancelled
)

// String returns the name used in logs and metrics, where Cancelled is "Left".
func (outcome Outcome) String() string {
	return [...]string{"Answered", "Refused", "Failed", "TimedOut", "Broken", "Left"}[outcome]
}

// Result is how a call ended, and why.
type Result struct {
	Outcome Outcome
	// RetryAfter is how long the caller of a refused call should wait before it retries.
	RetryAfter time.Duration
	// Reason is a short sentence for logs and the caller.
	Reason string
	// Status is the HTTP status from the backend server, 0 if none was passed on.
	Status int
	// Attempts is how many backend servers may have run the call.
	Attempts int
	// Events is how many events were passed on.
	Events int
	// TimeToFirstByte is the time until the first event of a stream was passed on; 0
	// for other answers and if there was none.
	TimeToFirstByte time.Duration
	// QueueTime is the total time that the call waited for places.
	QueueTime time.Duration
	// BackendServer is the ID of the last server that was tried.
	BackendServer string
}
