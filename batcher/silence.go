package batcher

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"limpetrail/kernel"
)

const (
	// silenceLimit without an event is how long a server is silent before another one is sent the item as
	// well. An engine that is full with online requests takes about a second to free a place.
	silenceLimit = 2 * time.Second
	// deadSilence without an event ends a run even if the item cannot go on elsewhere: its connection may
	// have been lost without a sign.
	deadSilence = 5 * time.Second
	// overlapLimit is how long two servers may work on one item.
	overlapLimit = 300 * time.Millisecond
	// besidePause is the pause between two runs beside a silent one.
	besidePause = time.Second
	// besideRecheck is how often a place beside a silent run is looked for.
	besideRecheck = 100 * time.Millisecond
	// overdueTime is how long a decision that is due waits for steps that have happened already: this
	// process may have been suspended.
	overdueTime = 5 * time.Millisecond
)

// mayRunBeside reports whether the item may be sent to another server: it is not suspected to end servers,
// and has not failed for good.
func (execution *execution) mayRunBeside(silent *itemRun) bool {
	return !execution.pending.trial && execution.outcome != impossible && execution.pending.failures < silent.target.route.AttemptLimit
}

// nextDecision returns when a silent run is decided on next.
func (execution *execution) nextDecision() time.Time {
	if len(execution.running) > 1 {
		return execution.running[1].sentAt.Add(overlapLimit)
	}

	silent := execution.running[0]
	if !execution.mayRunBeside(silent) {
		return silent.eventAt.Add(deadSilence)
	}

	return kernel.Earliest(silent.eventAt.Add(deadSilence), kernel.Latest(silent.eventAt.Add(silenceLimit), execution.besideAfter))
}

func (execution *execution) takeOverdueReports(ctx context.Context) {
	timeout := time.After(overdueTime)

	for {
		select {
		case reported := <-execution.reports:
			execution.handleReport(ctx, reported)
		case <-timeout:
			return
		}
	}
}

// handleSilence makes a run beside a silent one, and ends it if it has brought no event in time. The
// silent one goes on until then, or until it is considered dead.
func (execution *execution) handleSilence(ctx context.Context) {
	now := time.Now()
	if ctx.Err() != nil || len(execution.running) == 0 || now.Before(execution.nextDecision()) {
		return
	}

	if len(execution.running) > 1 {
		newest := execution.running[1]
		execution.triedServers = append(execution.triedServers, newest.grant.Server.ID)
		execution.besideAfter = now.Add(besidePause)
		execution.abandon(newest)

		return
	}

	silent := execution.running[0]
	if now.Before(silent.eventAt.Add(deadSilence)) {
		execution.startBeside(ctx, silent, now)

		return
	}

	silent.stop()
	silent.record.Abandon()
	silent.observeSilence()
	execution.end(silent, interrupted, "The backend server is silent.")
}

// startBeside sends the item to another server if one has a free place.
func (execution *execution) startBeside(ctx context.Context, silent *itemRun, now time.Time) {
	batcher, pending := execution.batcher, execution.pending
	execution.besideAfter = now.Add(besideRecheck)

	grant, target := batcher.placeBeside(execution.active, pending, slices.Concat(execution.triedServers, []string{silent.grant.Server.ID}))
	if grant == nil {
		return
	}

	execution.besideAfter = now.Add(besidePause)

	request := batcher.quarantineRequest(pending, target)
	// The silent run itself may be the first one of a part of the prompt.
	request.Patient = false

	record, _, blocked := batcher.Quarantiner.Start(request, grant.Server)
	if blocked {
		grant.Release()

		return
	}

	silent.observeSilence()
	batcher.Log.WithFields(logrus.Fields{
		"JobID": execution.active.job.ID, "RequestID": pending.item.ID, "BackendServer": silent.grant.Server.ID, "After": pending.lastEvent, "Other": grant.Server.ID,
	}).Info("Backend server is silent; another one is sent the item.")
	execution.start(ctx, target, grant, record)
}
