package bookkeeper

// State is what became of an item.
type State int

// States of items.
const (
	// Completed items have their whole output.
	Completed State = iota
	// GivenUp items will never be done.
	GivenUp
)

// Result is a listed item.
type Result struct {
	ID     string
	State  State
	Output string
}

// Segment is results that were listed together.
type Segment struct {
	// First is the position of the first result.
	First   int
	Results []Result
}
