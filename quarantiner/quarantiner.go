package quarantiner

import (
	"context"
	"time"

	"limpetrail/kernel"
	"limpetrail/placer"
)

// Liveness tells whether backend servers run.
type Liveness interface {
	// HasEnded reports whether the server's process has certainly ended.
	HasEnded(ctx context.Context, server placer.Server) bool
}

// Quarantiner observes the runs of requests at backend servers.
type Quarantiner struct {
	kernel.Common
	Liveness Liveness
}

// NewQuarantiner returns a quarantiner that suspects nothing.
func NewQuarantiner(common kernel.Common, liveness Liveness) *Quarantiner {
	return &Quarantiner{Common: common.ForPart("quarantiner"), Liveness: liveness}
}

// Start records that a request is being sent to a server.
func (quarantiner *Quarantiner) Start(request Request, server placer.Server) *Run {
	return &Run{quarantiner: quarantiner, request: request, server: server, sentAt: time.Now()}
}
