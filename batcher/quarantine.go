package batcher

import (
	"time"

	"github.com/sirupsen/logrus"

	"limpetrail/bookkeeper"
	"limpetrail/kernel"
	"limpetrail/placer"
	"limpetrail/quarantiner"
)

const (
	// quarantineRecheck is how often it is checked whether an item with a quarantined part
	// may run again.
	quarantineRecheck = 2 * time.Second
	// trialRecheck is how often it is checked whether a suspected item may be tried again.
	trialRecheck = 500 * time.Millisecond
	// idleServerWait is how long such an item waits for an idle server.
	idleServerWait = 2 * time.Second
)

func (batcher *Batcher) quarantineRequest(pending *task, target *destination) quarantiner.Request {
	return quarantiner.Request{ID: pending.item.ID, Service: target.service, Parts: batcher.Backend.SharedParts(headerOf(pending.item)), Patient: true, Waiting: pending.checked || len(pending.serverEnds.ends) > 0}
}

// mayRun reports whether an item may be sent now. One with a quarantined part is kept until
// its job's time ends: until then the job promises a result. The mutex must be held.
func (batcher *Batcher) mayRun(active *activeJob, pending *task, target *destination) bool {
	if (pending.quarantinedPart != "" || len(pending.serverEnds.ends) > 0) && !time.Now().Before(active.job.GiveUp) {
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

	return batcher.mayTry(active, pending, target)
}

// holdItem queues an item again that got a place but may not run.
func (batcher *Batcher) holdItem(active *activeJob, pending *task, block quarantiner.Block) {
	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()

	active.running--
	batcher.endTrial(pending)

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
func (batcher *Batcher) recordServerEnd(active *activeJob, pending *task, target *destination, grant *placer.Grant) {
	pending.serverEnds.add(serverEnd{server: grant.Server, endedAt: time.Now(), alone: grant.Alone})

	if _, blocked := batcher.Quarantiner.Check(batcher.quarantineRequest(pending, target)); blocked {
		return
	}

	delay, unexplained := batcher.trialDelay(pending, target)
	if delay == 0 {
		return
	}

	batcher.Log.WithFields(logrus.Fields{
		"JobID": active.job.ID, "RequestID": pending.item.ID, "Servers": len(pending.serverEnds.ends), "Unexplained": unexplained, "Alone": grant.Alone, "RetryAfter": delay,
	}).Info("Item is delayed: backend servers ended under it and nothing else is known to be the cause.")
	batcher.recheckTrial(active, pending, pending.serverEnds.last().Add(delay))
}

// trialDelay returns how long after the last end of a server the item may be tried again, and how
// many ends nothing that is quarantined explains. What ran beside the item, and which other
// servers ended, may be found later than the end. The delay is 0 if the item is not suspected.
func (batcher *Batcher) trialDelay(pending *task, target *destination) (time.Duration, int) {
	unexplained, alone := 0, 0

	for _, end := range pending.serverEnds.ends {
		if batcher.Quarantiner.Explains(target.service, end.server) {
			continue
		}

		unexplained++

		if end.alone && unexplained > 1 && !batcher.Quarantiner.EndedBeside(target.service, end.server, end.endedAt, pending.serverEnds.servers()) {
			alone++
		}
	}

	return pending.serverEnds.delay(unexplained, alone), unexplained
}

// recheckTrial sets when it is checked again whether a suspected item may run, which may be before
// tryAt: its delay becomes shorter when an end is explained. The mutex must be held.
func (batcher *Batcher) recheckTrial(active *activeJob, pending *task, tryAt time.Time) {
	now := time.Now()

	pending.notBefore = kernel.Earliest(now.Add(trialRecheck), active.job.GiveUp)
	if tryAt.After(now) {
		pending.notBefore = kernel.Earliest(pending.notBefore, tryAt)
	}
}

// mayTry reports whether a suspected item may be tried now: after its delay, and while no other
// one is tried. The mutex must be held.
func (batcher *Batcher) mayTry(active *activeJob, pending *task, target *destination) bool {
	delay, _ := batcher.trialDelay(pending, target)
	pending.trial = delay > 0

	if !pending.trial {
		return true
	}

	tryAt := pending.serverEnds.last().Add(delay)
	if batcher.trying == nil && !time.Now().Before(tryAt) {
		return true
	}

	batcher.recheckTrial(active, pending, tryAt)

	return false
}

// waitForIdleServer reports whether an item that is tried again should wait for a server at which
// nothing else runs. If no server becomes idle for a while, it runs beside others. The mutex must
// be held.
func (batcher *Batcher) waitForIdleServer(pending *task, target *destination) bool {
	delay, _ := batcher.trialDelay(pending, target)

	return pending.trial && time.Since(pending.serverEnds.last()) < delay+idleServerWait
}

// clearSuspicion records that a server began to answer the item, so that the item has not ended
// those before.
func (batcher *Batcher) clearSuspicion(pending *task) {
	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()

	if !pending.trial && len(pending.serverEnds.ends) == 0 {
		return
	}

	pending.serverEnds, pending.trial = serverEnds{}, false
	batcher.endTrial(pending)
	signal(batcher.dispatchSignal)
}

// endTrial lets another suspected item be tried. The mutex must be held.
func (batcher *Batcher) endTrial(pending *task) {
	if batcher.trying == pending {
		batcher.trying = nil
	}
}
