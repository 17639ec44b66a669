package quarantiner

import (
	"context"

	"limpetrail/placer"
)

// Liveness tells whether backend servers run.
type Liveness interface {
	// HasEnded reports whether the server's process has certainly ended.
	HasEnded(ctx context.Context, server placer.Server) bool
}
