package allotter

// Backlog is the batch work that waits for places at one entry.
type Backlog struct {
	// Timely items can still be done when they are due, Late ones cannot.
	Timely int `json:",omitempty"`
	Late   int `json:",omitempty"`
}

// Claimant is an entry with a backlog.
type Claimant struct {
	Entry      string
	DataCentre string
	Backlog    Backlog
}
