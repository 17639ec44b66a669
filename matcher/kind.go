package matcher

// Kind is what may be repeated of a route's requests.
type Kind int

// Kinds of routes.
const (
	// Once is a request that runs at most once.
	Once Kind = iota
	// Idempotent is a request that may run more than once.
	Idempotent
	// Stream is an answer of events; see Route.Resumable.
	Stream
	// Batch is a job of many items that run later.
	Batch
)

// String names the kind in logs and metrics.
func (kind Kind) String() string {
	return [...]string{"Once", "Idempotent", "Stream", "Batch"}[kind]
}
