package keeper

import "context"

// Priority orders the calls of one process when its budget runs out.
type Priority int

// Priorities, highest first.
const (
	// PriorityInteractive is for calls that a caller waits for.
	PriorityInteractive Priority = iota
	// PriorityNormal is for calls that may be delayed: commits of batch progress,
	// lease renewals, the operators' document.
	PriorityNormal
	// PriorityBackground is for calls that may be skipped.
	PriorityBackground
)

type priorityKey struct{}

// WithPriority sets the priority of the calls made with the context. The default
// is PriorityNormal.
func WithPriority(ctx context.Context, priority Priority) context.Context {
	return context.WithValue(ctx, priorityKey{}, priority)
}

func priorityFrom(ctx context.Context) Priority {
	priority, found := ctx.Value(priorityKey{}).(Priority)
	if !found {
		return PriorityNormal
	}

	return priority
}
