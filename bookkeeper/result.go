package bookkeeper

// State is how an item ended.
type State int

// States of items.
const (
	// Completed items have their complete output.
	Completed State = iota
	// GivenUp items have no complete output and are not tried again.
	GivenUp
)

// Result is the result of one item.
type Result struct {
	ID     string
	State  State
	Output string
}
