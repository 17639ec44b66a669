package batcher

import (
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// softwareRecheck is how often a place is looked for at servers of an item's version.
	softwareRecheck = 200 * time.Millisecond
	// softwareWait is how long an item waits for such a place before it begins anew.
	softwareWait = 10 * time.Second
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
