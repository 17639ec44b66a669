package batcher

import (
	"time"

	"github.com/sirupsen/logrus"

	"limpetrail/bookkeeper"
	"limpetrail/kernel"
	"limpetrail/matcher"
)

// configurationRecheck is how often it is checked whether a sufficiently new configuration is
// in force.
const configurationRecheck = 100 * time.Millisecond

// holdForConfiguration postpones an item while this process has an older configuration than the
// one by which the job was accepted, or none: the item's route, its service and its limit of
// attempts may be missing there. Once the job's time is over, no configuration is needed to give
// the item up. The mutex must be held.
func (batcher *Batcher) holdForConfiguration(active *activeJob, pending *task, document *matcher.Document) {
	now := time.Now()
	if !now.Before(active.job.GiveUp) {
		batcher.recordResult(active, pending, bookkeeper.GivenUp, "The give-up time of the job has passed, and its configuration is not known here.")

		return
	}

	pending.notBefore = kernel.Earliest(now.Add(configurationRecheck), active.job.GiveUp)

	if pending.awaitsConfiguration {
		return
	}

	pending.awaitsConfiguration = true

	version := int64(0)
	if document != nil {
		version = document.Version
	}

	batcher.Log.WithFields(logrus.Fields{
		"JobID": active.job.ID, "RequestID": pending.item.ID, "Version": version, "Required": active.job.Configuration,
	}).Info("Item waits: this process does not have the configuration by which its job was accepted.")
}
