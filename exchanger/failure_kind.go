package exchanger

import "github.com/juju/errors"

// ErrWithdrawn is the cause when a request was not sent because its server was withdrawn
// while a connection was made.
var ErrWithdrawn = errors.New("backend server was withdrawn")

// ErrRestarted is the cause when a request was not sent because its server has started again since
// it was listed.
var ErrRestarted = errors.New("backend server has started again since it was listed")

// FailureKind is how an exchange failed, which tells whether the request may have run.
type FailureKind int

// Kinds of failure. The request may have run after any but Unsent.
const (
	// Unsent means that no byte of the request was sent.
	Unsent FailureKind = iota
	// Unanswered means that nothing arrived in time.
	Unanswered
	// Interrupted means that the connection broke, or that what arrived was not a valid
	// answer.
	Interrupted
	// Cancelled means that the caller's context ended.
	Cancelled
)

// String returns the name used in error texts and logs, where Interrupted is "Cut"
// and Cancelled is "Left".
func (kind FailureKind) String() string {
	return [...]string{"Unsent", "Unanswered", "Cut", "Left"}[kind]
}

// FailureError is the error of an exchange that got no complete answer.
type FailureError struct {
	Kind  FailureKind
	Cause error
}

// Error implements error.
func (failure FailureError) Error() string {
	return failure.Kind.String() + ": " + failure.Cause.Error()
}

// Unwrap returns the cause.
func (failure FailureError) Unwrap() error {
	return failure.Cause
}
