package quarantiner

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"limpetrail/placer"
)

// Run is one attempt at a request at one backend server. One goroutine at a time uses it.
type Run struct {
	quarantiner *Quarantiner
	request     Request
	server      placer.Server
	sentAt      time.Time
	// begun is true once the server's first event, or its whole answer, has arrived.
	begun bool
}

// Begin records that the server has begun to answer, or has answered as a whole.
func (run *Run) Begin() {
	run.begun = true
}

// BreakOff records that the answer broke off, and returns what that shows of the server. A
// server that had not begun to answer may have ended because of the request, so it is
// checked whether its process still listens.
func (run *Run) BreakOff(ctx context.Context, reason string) placer.Observation {
	if run.begun || ctx.Err() != nil {
		return placer.Broken
	}

	ended := run.quarantiner.Liveness.HasEnded(ctx, run.server)

	run.quarantiner.Log.WithFields(logrus.Fields{
		"RequestID": run.request.ID, "Service": run.request.Service, "Parts": run.request.Parts, "BackendServer": run.server.ID,
		"Ended": ended, "Age": time.Since(run.sentAt), "Reason": reason,
	}).Info("Backend server broke off before it began to answer.")

	if ended {
		return placer.Unreachable
	}

	return placer.Broken
}
