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
	// tried are the quarantined parts that the run tries again.
	tried []*suspect
	// first are the parts that were not answered before, until the run has an outcome.
	first []Subject
	// begun is true once the server's first event, or its whole answer, has arrived.
	begun bool
	// serverEnded is true if the server's process ended before it began to answer.
	serverEnded bool
}

// Begin records that the server has begun to answer, or has answered as a whole, with
// success: a request that fails may not have come to the point at which it ends servers. The
// parts of the prompt have ended none of the servers that they are suspected of.
func (run *Run) Begin() {
	if run.begun {
		return
	}

	run.begun = true
	run.quarantiner.refute(run)
}

// BreakOff records that the answer broke off, and returns what that shows of the server. A
// server that had not begun to answer may have ended because of the request, so it is
// checked whether its process still listens.
func (run *Run) BreakOff(ctx context.Context, reason string) placer.Observation {
	if ctx.Err() != nil {
		return placer.Broken
	}

	if run.begun {
		run.quarantiner.checkEnding(ctx, run.request.Service, run.server)

		return placer.Broken
	}

	now := time.Now()
	ended := run.quarantiner.Liveness.HasEnded(ctx, run.server)

	run.quarantiner.Log.WithFields(logrus.Fields{
		"RequestID": run.request.ID, "Service": run.request.Service, "PromptParts": run.request.Parts, "Fingerprint": run.request.Fingerprint, "BackendServer": run.server.ID,
		"Ended": ended, "Age": now.Sub(run.sentAt), "Reason": reason,
	}).Info("Backend server broke off before it began to answer.")

	if !ended {
		return placer.Broken
	}

	run.recordEnd(now)

	return placer.Unreachable
}

// EndServer records that the server ended before it began to answer, as who runs beside it
// says. The start is different for each of the server's.
func (run *Run) EndServer(start int64) {
	run.server.Incarnation = start

	run.quarantiner.Log.WithFields(logrus.Fields{
		"RequestID": run.request.ID, "Service": run.request.Service, "PromptParts": run.request.Parts, "Fingerprint": run.request.Fingerprint, "BackendServer": run.server.ID,
		"Age": time.Since(run.sentAt),
	}).Info("Backend server ended before it began to answer.")

	run.recordEnd(time.Now())
}

func (run *Run) recordEnd(now time.Time) {
	run.serverEnded = true
	run.quarantiner.recordStrike(run.request, strike{server: incarnationOf(run.server), requestID: run.request.ID, fingerprint: run.request.Fingerprint, sentAt: run.sentAt, endedAt: now, trial: len(run.tried) > 0})
}

// EndedByItself reports whether an answer that does not mark its end, and has ended without
// an error, is complete: it has begun, and its connection did not end with the server.
func (run *Run) EndedByItself(ctx context.Context) bool {
	return run.begun && !run.ServerGone(ctx)
}

// ServerGone reports whether the server's process has certainly ended.
func (run *Run) ServerGone(ctx context.Context) bool {
	return run.quarantiner.Liveness.HasEnded(ctx, run.server)
}

// ServerEnded reports whether the server's process ended before it began to answer.
func (run *Run) ServerEnded() bool {
	return run.serverEnded
}

// Close ends the run. A trial without an outcome leaves its turn to the next request.
func (run *Run) Close() {
	if len(run.tried) == 0 && len(run.first) == 0 {
		return
	}

	run.quarantiner.mutex.Lock()
	defer run.quarantiner.mutex.Unlock()

	for _, suspect := range run.tried {
		suspect.trialEndsAt = time.Time{}
	}

	run.tried = nil
	run.quarantiner.endFirstRuns(run)
}
