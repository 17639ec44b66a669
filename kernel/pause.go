package kernel

import (
	"context"
	"time"
)

// Pause waits, and tells whether the context is still alive.
func Pause(ctx context.Context, duration time.Duration) bool {
	select {
	case <-time.After(duration):
		return true
	case <-ctx.Done():
		return false
	}
}
