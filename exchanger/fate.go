package exchanger

import "github.com/juju/errors"

// ErrWithdrawn is the cause of a request that was not sent because its server is
// no longer to be used.
var ErrWithdrawn = errors.New("the backend server is no longer to be used")

// Fate is what is known of a request whose exchange failed.
type Fate int

// Fates.
const (
	// Unsent means that no byte of the request left.
	Unsent Fate = iota
	// Unanswered means that nothing came back in time.
	Unanswered
	// Cut means that the connection broke, or what came back was no answer.
	Cut
	// Left means that the caller's context ended.
	Left
)

// String names the fate in logs.
func (fate Fate) String() string {
	return [...]string{"Unsent", "Unanswered", "Cut", "Left"}[fate]
}

// FailureError is an exchange without an answer.
type FailureError struct {
	Fate  Fate
	Cause error
}

// Error implements error.
func (failure FailureError) Error() string {
	return failure.Fate.String() + ": " + failure.Cause.Error()
}

// Unwrap returns the cause.
func (failure FailureError) Unwrap() error {
	return failure.Cause
}
