package batcher

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/juju/errors"

	"limpetrail/exchanger"
	"limpetrail/forwarder"
	"limpetrail/placer"
	"limpetrail/quarantiner"
)

// execution is one attempt at an item, from its first place until none of its runs goes on. A run that is
// silent goes on until another one has brought the next event: a sound server may be silent for a while.
type execution struct {
	batcher *Batcher
	active  *activeJob
	pending *task

	// running holds the runs that have not ended, the older one first. There are two only while the older
	// one is silent.
	running []*itemRun
	reports chan runReport
	// triedServers holds the IDs of the servers at which runs have ended since the last event.
	triedServers []string
	// besideAfter is the earliest time of the next run beside a silent one.
	besideAfter time.Time

	outcome attemptOutcome
	reason  string
}

func newExecution(batcher *Batcher, active *activeJob, pending *task) *execution {
	return &execution{batcher: batcher, active: active, pending: pending, reports: make(chan runReport)}
}

// start sends the item to the server of the grant.
func (execution *execution) start(ctx context.Context, target *destination, grant *placer.Grant, record *quarantiner.Run) {
	ctx, cancel := context.WithCancel(ctx)
	now := time.Now()
	added := &itemRun{
		execution: execution, target: target, grant: grant, record: record, after: execution.pending.lastEvent,
		sentAt: now, eventAt: now, cancel: cancel, done: make(chan struct{}),
	}
	execution.running = append(execution.running, added)

	// A run beside a silent one has no progress yet that its preemption would lose.
	if len(execution.running) == 1 {
		grant.SetProgress(execution.pending.eventCount)
	}

	go added.play(ctx)
}

// play goes on until all runs have ended.
func (execution *execution) play(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()

	for len(execution.running) > 0 {
		timer.Reset(time.Until(execution.nextDecision()))

		select {
		case reported := <-execution.reports:
			execution.handleReport(ctx, reported)
		case <-timer.C:
			execution.takeOverdueReports(ctx)
			execution.handleSilence(ctx)
		case <-ctx.Done():
			for _, run := range slices.Clone(execution.running) {
				execution.end(run, interrupted, "The attempt was cancelled.")
			}
		}
	}
}

func (execution *execution) handleReport(ctx context.Context, reported runReport) {
	switch reported.step {
	case unanswered:
		execution.handleFailure(ctx, reported.run, reported.err)
	case answered:
		execution.handleReply(reported)
	default:
		execution.handlePart(ctx, reported.run, reported.part, reported.err)
	}
}

// end ends a run that does not go on.
func (execution *execution) end(ended *itemRun, outcome attemptOutcome, reason string) {
	execution.remove(ended)
	execution.triedServers = append(execution.triedServers, ended.grant.Server.ID)
	execution.batcher.recordEnding(execution.active, execution.pending, ended, outcome, reason, len(execution.running) > 0)

	if outcome >= execution.outcome {
		execution.outcome, execution.reason = outcome, reason
	}
}

// abandon ends a run that is not needed any more. Its server may still end by it.
func (execution *execution) abandon(abandoned *itemRun) {
	abandoned.stop()
	abandoned.record.Abandon()
	execution.remove(abandoned)
}

func (execution *execution) remove(removed *itemRun) {
	removed.close()

	execution.running = slices.DeleteFunc(execution.running, func(other *itemRun) bool { return other == removed })
}

// handleReply goes on after the head of an answer.
func (execution *execution) handleReply(reported runReport) {
	run, reply := reported.run, reported.reply
	reply.RecordAnnouncements(run.grant, execution.pending.item.ID)

	switch reply.Kind {
	case forwarder.Full:
		run.grant.Observe(placer.Full, 0)
		execution.end(run, interrupted, "The backend server is full.")

		return
	case forwarder.Misdirected:
		run.grant.Observe(placer.Unreachable, 0)
		execution.end(run, interrupted, "Another backend server answered at the address.")

		return
	case forwarder.Mismatched:
		run.grant.Observe(placer.Broken, 0)
		execution.end(run, interrupted, "The answer belongs to another request.")

		return
	default:
	}

	switch reply.Answer.Status {
	case http.StatusOK:
		run.grant.Observe(placer.Answered, time.Since(run.sentAt))

		if reported.restarted {
			execution.end(run, interrupted, "The backend server has started again; the item does not go on there.")

			return
		}

		run.parser, run.eventAt = reply.Answer.EventParser(), time.Now()
	case http.StatusUnprocessableEntity:
		execution.end(run, impossible, "The backend server reported that the item cannot be processed.")
	case http.StatusInternalServerError:
		execution.end(run, failed, "The backend server reported an internal error.")
	default:
		execution.end(run, interrupted, "The backend server answered "+http.StatusText(reply.Answer.Status)+".")
	}
}

// handleFailure reports an error of an exchange to the placer, unless the run was cancelled or preempted
// or the server withdrawn.
func (execution *execution) handleFailure(ctx context.Context, run *itemRun, err error) {
	failure := exchanger.FailureError{}

	switch {
	case ctx.Err() != nil, isPreempted(run.grant):
	case errors.Is(err, exchanger.ErrWithdrawn), errors.Is(err, exchanger.ErrRestarted):
	case errors.As(err, &failure) && failure.Kind == exchanger.Unsent:
		run.grant.Observe(placer.Unreachable, 0)
	case failure.Kind == exchanger.Unanswered:
		run.grant.Observe(placer.Silent, 0)
	default:
		run.grant.Observe(run.record.BreakOff(ctx, err.Error()), 0)
	}

	execution.end(run, interrupted, err.Error())
}

// endedEarly is the reason of a stream that ended without an error and is not complete.
const endedEarly = "The stream ended within an event, or without one."

// handlePart appends the events of a part to the item's output.
func (execution *execution) handlePart(ctx context.Context, run *itemRun, part []byte, err error) {
	pending, eventsBefore := execution.pending, execution.pending.eventCount
	if eventsBefore == 0 {
		pending.begins(run.software)
	}

	invalid := appendEvents(pending, run.parser, part)
	if added := pending.eventCount - eventsBefore; added > 0 {
		execution.lead(run, added)
	}

	switch {
	case invalid != nil:
		execution.handleFailure(ctx, run, invalid)
	case err == nil:
	case errors.Is(err, io.EOF) && run.parser.AtEventBoundary() && pending.eventCount > 0 && (run.answer.Framed || run.record.EndedByItself(ctx)):
		execution.abandonOthers(run)
		run.grant.Observe(placer.Complete, 0)
		execution.end(run, completed, "")
	case errors.Is(err, io.EOF):
		execution.handleFailure(ctx, run, errors.New(endedEarly))
	default:
		execution.handleFailure(ctx, run, err)
	}
}

// lead makes a run that brought events the only one.
func (execution *execution) lead(leader *itemRun, added int) {
	pending := execution.pending
	if leader.eventCount == 0 {
		pending.avoidServers = nil
	}

	leader.eventCount += added
	leader.eventAt, leader.silenceObserved = time.Now(), false
	leader.grant.SetProgress(pending.eventCount)
	leader.record.Begin()
	execution.batcher.clearSuspicion(pending)

	execution.triedServers = nil

	if execution.running[0] != leader {
		pending.avoid(execution.running[0].grant.Server.ID)
	}

	execution.abandonOthers(leader)
}

func (execution *execution) abandonOthers(kept *itemRun) {
	for _, other := range slices.Clone(execution.running) {
		if other != kept {
			execution.abandon(other)
		}
	}
}
