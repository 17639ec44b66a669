package kernel

import (
	"context"
	"time"
)

// Pause waits for the duration or the end of the context, and reports whether
// the whole duration has passed.
func Pause(ctx context.Context, duration time.Duration) bool {
	select {
	case <-time.After(duration):
		return true
	case <-ctx.Done():
		return false
	}
}
