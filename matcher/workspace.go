package matcher

// Workspace is a group of callers that share keys, a priority and a cap.
type Workspace struct {
	Name string
	// Keys identify the workspace's callers. No two workspaces of a document share a key.
	Keys []string
	// Priority takes precedence over the priority of routes; nil if the workspace sets none.
	Priority *int
	Cap      Cap
}

// Cap bounds the requests that a workspace may send through all gateways together.
type Cap struct {
	// PerSecond is the sustained rate; 0 means that there is no cap.
	PerSecond float64
	// Burst is how many requests may be sent at once beyond the rate. With a rate it is at least 1.
	Burst float64
}

// Limited reports whether the cap bounds anything.
func (bounds Cap) Limited() bool {
	return bounds.PerSecond > 0
}
