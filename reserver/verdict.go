package reserver

// Verdict is the decision on a reservation.
type Verdict int

// Verdicts.
const (
	// Granted means that the bytes are reserved.
	Granted Verdict = iota
	// NoRoom means that the budget is spent.
	NoRoom
	// AddressBound means that the budget is short and the caller's address has its fair part.
	AddressBound
	// WorkspaceBound is AddressBound for the workspace.
	WorkspaceBound
)

// String returns the name used in logs and metrics.
func (verdict Verdict) String() string {
	return [...]string{"Granted", "NoRoom", "AddressBound", "WorkspaceBound"}[verdict]
}
