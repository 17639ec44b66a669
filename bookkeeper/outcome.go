package bookkeeper

// Outcome tells what became of a call about jobs.
type Outcome int

// Outcomes.
const (
	// OK means that the call is done, and lasts.
	OK Outcome = iota
	// NotFound means that there is no such job or item.
	NotFound
	// NotDone means that nothing was done and nothing will be.
	NotDone
	// Unknown means that the call may have taken effect.
	Unknown
)

// String names the outcome in logs.
func (outcome Outcome) String() string {
	return [...]string{"OK", "NotFound", "NotDone", "Unknown"}[outcome]
}
