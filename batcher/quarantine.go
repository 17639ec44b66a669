package batcher

import (
	"time"

	"github.com/sirupsen/logrus"

	"limpetrail/bookkeeper"
	"limpetrail/kernel"
	"limpetrail/placer"
	"limpetrail/quarantiner"
	"limpetrail/retrier"
)

const (
	// quarantineRecheck is how often it is checked whether an item with a quarantined part
	// may run again.
	quarantineRecheck = 2 * time.Second
	// freeServerEnds is how many backend servers may end under an item before its attempts
	// are serverEndPause and more apart. One may have ended by itself.
	freeServerEnds    = 2
	serverEndPause    = 30 * time.Second
	maxServerEndPause = 10 * time.Minute
	// maxEndedServers is more than the pauses tell apart.
	maxEndedServers = 16
)

func (batcher *Batcher) quarantineRequest(pending *task, target *destination) quarantiner.Request {
	return quarantiner.Request{ID: pending.item.ID, Service: target.service, Parts: batcher.Backend.SharedParts(headerOf(pending.item)), Patient: true, Waiting: pending.checked || len(pending.endedServers) > 0}
}

// mayRun reports whether an item may be sent now. One with a quarantined part is kept until
// its job's time ends: until then the job promises a result. The mutex must be held.
func (batcher *Batcher) mayRun(active *activeJob, pending *task, target *destination) bool {
	if (pending.quarantinedPart != "" || len(pending.endedServers) > 0) && !time.Now().Before(active.job.GiveUp) {
		batcher.recordResult(active, pending, bookkeeper.GivenUp, "The give-up time of the job has passed, and the item ends backend servers.")

		return false
	}

	block, blocked := batcher.Quarantiner.Check(batcher.quarantineRequest(pending, target))
	if blocked {
		batcher.postpone(active, pending, block)

		return false
	}

	if pending.quarantinedPart != "" {
		batcher.Log.WithFields(logrus.Fields{"JobID": active.job.ID, "RequestID": pending.item.ID, "PromptPart": pending.quarantinedPart}).Info("Item may run again.")
		pending.quarantinedPart = ""
	}

	if time.Now().Before(pending.pausedUntil) && batcher.unexplainedEnds(pending, target) >= freeServerEnds {
		batcher.recheckPause(active, pending)

		return false
	}

	return true
}

// holdItem queues an item again that got a place but may not run.
func (batcher *Batcher) holdItem(active *activeJob, pending *task, block quarantiner.Block) {
	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()

	active.running--

	if active.context.Err() != nil || active.committedBefore[pending.item.ID] {
		return
	}

	batcher.postpone(active, pending, block)
	active.waiting = append(active.waiting, pending)
	signal(batcher.dispatchSignal)
}

// postpone sets when it is checked again whether an item may run. The mutex must be held.
func (batcher *Batcher) postpone(active *activeJob, pending *task, block quarantiner.Block) {
	pending.checked = pending.checked || block.Quarantined
	pending.notBefore = kernel.Earliest(time.Now().Add(min(block.RetryAfter, quarantineRecheck)), active.job.GiveUp)

	if block.Quarantined && pending.quarantinedPart != block.Subject.Part {
		pending.quarantinedPart = block.Subject.Part
		batcher.Log.WithFields(logrus.Fields{"JobID": active.job.ID, "RequestID": pending.item.ID, "PromptPart": block.Subject.Part, "RetryAfter": block.RetryAfter}).Info("Item is kept away from backend servers: a part of its prompt is quarantined.")
	}
}

// recordServerEnd records a backend server that ended before it began to answer the item. If
// neither the prompt nor another request is known to be the cause, further attempts are delayed
// after several. The mutex must be held.
func (batcher *Batcher) recordServerEnd(active *activeJob, pending *task, target *destination, server placer.Server) {
	pending.endedServers = append(pending.endedServers, server)
	pending.endedServers = pending.endedServers[max(0, len(pending.endedServers)-maxEndedServers):]

	if _, blocked := batcher.Quarantiner.Check(batcher.quarantineRequest(pending, target)); blocked {
		return
	}

	unexplained := batcher.unexplainedEnds(pending, target)
	if unexplained < freeServerEnds {
		return
	}

	pause := serverEndPause
	for range unexplained - freeServerEnds {
		pause = min(2*pause, maxServerEndPause)
	}

	pending.pausedUntil = time.Now().Add(retrier.AddJitter(pause))
	batcher.Log.WithFields(logrus.Fields{"JobID": active.job.ID, "RequestID": pending.item.ID, "Servers": len(pending.endedServers), "Unexplained": unexplained, "RetryAfter": pause}).Info("Item is delayed: backend servers ended under it and nothing else is known to be the cause.")
	batcher.recheckPause(active, pending)
}

// unexplainedEnds counts the servers that ended under the item and under nothing that is known to
// end servers. What ran beside the item may be found later than the end.
func (batcher *Batcher) unexplainedEnds(pending *task, target *destination) int {
	unexplained := 0

	for _, server := range pending.endedServers {
		if !batcher.Quarantiner.Explains(target.service, server) {
			unexplained++
		}
	}

	return unexplained
}

// recheckPause sets when it is checked again whether a delayed item may run. The mutex must be
// held.
func (batcher *Batcher) recheckPause(active *activeJob, pending *task) {
	recheck := kernel.Earliest(pending.pausedUntil, time.Now().Add(quarantineRecheck))
	pending.notBefore = kernel.Earliest(recheck, active.job.GiveUp)
}
