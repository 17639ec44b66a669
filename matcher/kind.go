package matcher

// Kind is the kind of a route. It determines whether its requests may run again.
type Kind int

// Kinds of routes.
const (
	// AtMostOnce is a request that runs at most once.
	AtMostOnce Kind = iota
	// Idempotent is a request that may run more than once.
	Idempotent
	// Stream is a request that is answered with a stream of events. It may run again
	// only if the route is resumable.
	Stream
	// Batch is a job of many items that run later.
	Batch
)

// String returns the name of the kind in logs and metrics.
func (kind Kind) String() string {
	return [...]string{"Once", "Idempotent", "Stream", "Batch"}[kind]
}
