package bookkeeper

// Outcome is how a call about jobs ended.
type Outcome int

// Outcomes.
const (
	// OK means that the call took effect durably.
	OK Outcome = iota
	// NotFound means that there is no such job or item.
	NotFound
	// NotDone means that the call has had no effect and will have none.
	NotDone
	// Unknown means that the call may have taken effect.
	Unknown
	// Rejected means that the call had no effect, and never will as it is.
	Rejected
	// Occupied means that a job of another workspace has the ID.
	Occupied
)

// String returns the name of the outcome in logs.
func (outcome Outcome) String() string {
	return [...]string{"OK", "NotFound", "NotDone", "Unknown", "Rejected", "Occupied"}[outcome]
}
