package keeper

import "context"

// Priority orders the calls of one process when its budget is short.
type Priority int

// Priorities, most needed first.
const (
	// PriorityClaim is for calls that a waiting caller depends on.
	PriorityClaim Priority = iota
	// PriorityProgress is for work that may be late: commits of batch
	// progress, lease renewals, the operators' document.
	PriorityProgress
	// PriorityBackground is for everything that may be left out.
	PriorityBackground
)

type priorityKey struct{}

// WithPriority sets the priority of the calls made with the context. Without
// one a call has PriorityProgress.
func WithPriority(ctx context.Context, priority Priority) context.Context {
	return context.WithValue(ctx, priorityKey{}, priority)
}

func priorityOf(ctx context.Context) Priority {
	priority, found := ctx.Value(priorityKey{}).(Priority)
	if !found {
		return PriorityProgress
	}

	return priority
}
