package enforcer

// Report is what one gateway tells its peers about the use of caps.
type Report struct {
	// Uses holds the use of workspaces by name, not of all of them in each report.
	Uses map[string]Use `json:",omitempty"`
	// Unheard are peers whose reports do not arrive, so that they learn of it if only one
	// direction is interrupted.
	Unheard []string `json:",omitempty"`
	// Ended is true in the last report of a process that stops: it spends nothing more.
	Ended bool `json:",omitempty"`
	// Starting is true while the process asks its peers for the levels of the buckets.
	Starting bool `json:",omitempty"`
}

// Use is the use of one workspace by one process: the count of admitted requests minus refunded
// ones since its start, its demand in requests a second, the level of the bucket (while a peer starts)
// and the share that is fixed (while some peer is not heard). It is an array because names of fields would double its length in JSON.
type Use []float64

// Indices of a Use.
const (
	useCount = iota
	useDemand
	useLevel
	useShare
)
