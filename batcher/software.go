package batcher

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"limpetrail/exchanger"
)

const (
	// softwareRecheck is how often a place is looked for at servers of an item's version.
	softwareRecheck = 200 * time.Millisecond
	// softwareWait is how long an item waits for such a place before it begins anew.
	softwareWait = 10 * time.Second
	// attestTimeout bounds how long an item waits for its server's start, unless the server is silent as
	// a whole.
	attestTimeout = 300 * time.Millisecond
)

// discardIfGone lets an item begin anew if no server has the software version that sent its output:
// what two versions write does not fit together. It reports whether it did. The mutex must be held.
func (batcher *Batcher) discardIfGone(active *activeJob, pending *task, target *destination) bool {
	waited := !pending.heldSince.IsZero() && time.Since(pending.heldSince) > softwareWait
	if !waited && batcher.Placer.HasSoftware(target.service, pending.software) {
		return false
	}

	batcher.Log.WithFields(logrus.Fields{
		"JobID": active.job.ID, "RequestID": pending.item.ID, "Software": pending.software, "Events": pending.eventCount, "Waited": waited,
	}).Info("Item begins anew: its output is of a software version at which it cannot go on.")
	pending.discardOutput()

	return true
}

// holdForSoftware lets other items go ahead of one that waits for a server of its version, if there
// are servers of others. It reports whether it did. The mutex must be held.
func (batcher *Batcher) holdForSoftware(pending *task, target *destination) bool {
	if !batcher.Placer.HasOtherSoftware(target.service, pending.software) {
		return false
	}

	now := time.Now()
	if pending.heldSince.IsZero() {
		pending.heldSince = now
	}

	pending.notBefore = now.Add(softwareRecheck)

	return true
}

// attestStart returns the software version of the server that answers a run. It is unknown unless the
// server is certainly the start that is listed; an item that begins there begins anew if it has to go on
// elsewhere. It returns true as well if an item must not go on at this server.
func (batcher *Batcher) attestStart(ctx context.Context, active *activeJob, run *itemRun) (string, bool) {
	software := run.grant.Server.Software
	if software == "" {
		return "", false
	}

	err := batcher.Attester.ConfirmWhile(ctx, run.grant.Server, run.answer.ConnectedAt, attestTimeout, run.answer.IsSilent)
	if err == nil {
		return software, false
	}

	continues := run.after >= 0

	batcher.Log.WithFields(logrus.Fields{
		"JobID": active.job.ID, "RequestID": run.execution.pending.item.ID, "BackendServer": run.grant.Server.ID, "Software": software, "Continues": continues, "Reason": err.Error(),
	}).Info("The software version of the server that answers is not certain.")

	return "", continues && errors.Is(err, exchanger.ErrRestarted)
}
