package batcher

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"limpetrail/exchanger"
	"limpetrail/forwarder"
	"limpetrail/placer"
	"limpetrail/quarantiner"
)

// readSize is the size of the buffers for reading from a stream.
const readSize = 4 << 10

// itemRun is one run of an item at a backend server. Its goroutine sends the item and reads the answer. It
// reports each step to the execution, which alone decides by it.
type itemRun struct {
	execution *execution
	target    *destination
	grant     *placer.Grant
	record    *quarantiner.Run
	// after is the number of the event after which the run goes on, or -1.
	after  int
	sentAt time.Time
	cancel context.CancelFunc
	// done is closed when the goroutine has ended.
	done chan struct{}

	// The goroutine sets these before it reports the answer.
	answer *exchanger.Answer
	// software is the version that the answer is known to come from; empty if it is not certain.
	software string

	// The rest belongs to the execution.

	parser *exchanger.EventParser
	// eventAt is when the last event arrived; before the first one, when the head of the answer did or the
	// item was sent.
	eventAt    time.Time
	eventCount int
	// silenceObserved is set once the placer knows of the present silence.
	silenceObserved bool
}

func (run *itemRun) observeSilence() {
	if !run.silenceObserved {
		run.silenceObserved = true
		run.grant.Observe(placer.Silent, 0)
	}
}

// runStep is how far a run has come.
type runStep int

const (
	// unanswered runs got no answer.
	unanswered runStep = iota
	// answered runs got the head of an answer.
	answered
	// partRead runs got a part of the events.
	partRead
)

// runReport says what happened to a run.
type runReport struct {
	run   *itemRun
	step  runStep
	reply forwarder.Reply
	// restarted is true if the item must not go on at the server, as it has started again.
	restarted bool
	part      []byte
	// err ends the run; io.EOF is the end of its answer.
	err error
}

// report hands a step to the execution. It returns false if the run was stopped.
func (run *itemRun) report(ctx context.Context, reported runReport) bool {
	reported.run = run

	select {
	case run.execution.reports <- reported:
		return true
	case <-ctx.Done():
		return false
	}
}

// play sends the item until the context ends or the run is preempted, which is reported.
func (run *itemRun) play(ctx context.Context) {
	defer close(run.done)

	sending, cancel := context.WithCancel(ctx)
	defer cancel()

	go func() {
		select {
		case <-run.grant.Preempted:
			cancel()
		case <-sending.Done():
		}
	}()

	run.send(ctx, sending)
}

func (run *itemRun) send(ctx, sending context.Context) {
	batcher, active, pending := run.execution.batcher, run.execution.active, run.execution.pending
	call := &forwarder.Call{
		ID: pending.item.ID, Method: http.MethodPost, Target: pending.item.Target, Host: active.job.Host,
		Header: exchanger.EndToEndHeaders(headerOf(pending.item)), Body: pending.item.Body, Route: run.target.route, Service: run.target.service,
		Deadline: active.job.GiveUp, LastEventID: run.after,
		Workspace: active.job.Workspace, Authenticated: active.job.Workspace != "" || batcher.requiresKeys(),
	}

	reply, err := batcher.Backend.Send(sending, run.grant.Server, call, forwarder.Attempt{
		Remaining: time.Until(active.job.GiveUp), LastEventID: run.after, Withdrawn: run.grant.Withdrawn, Repeatable: true,
	})
	if err != nil {
		run.report(ctx, runReport{step: unanswered, err: err})

		return
	}

	run.answer = reply.Answer
	begins, restarted := reply.Kind == forwarder.Served && reply.Answer.Status == http.StatusOK, false

	if begins {
		run.software, restarted = batcher.attestStart(sending, active, run)
	}

	if run.report(ctx, runReport{step: answered, reply: reply, restarted: restarted}) && begins && !restarted {
		run.readEvents(ctx)
	}
}

// readEvents reports the parts of a stream. The execution is done with a part when it takes the next one,
// so that two buffers are enough.
func (run *itemRun) readEvents(ctx context.Context) {
	buffers := [2][]byte{make([]byte, readSize), make([]byte, readSize)}

	for number := 0; ; number++ {
		buffer := buffers[number%len(buffers)]

		count, err := run.answer.ReadPart(buffer, time.Time{})
		if errors.Is(err, io.EOF) {
			// The connection can be used again.
			run.answer.Close()
		}

		if !run.report(ctx, runReport{step: partRead, part: buffer[:count], err: err}) || err != nil {
			return
		}
	}
}

// stop ends the goroutine, and the exchange if it has not ended.
func (run *itemRun) stop() {
	run.cancel()
	<-run.done
}

// close ends the run and releases its place. A server that still works on it is made to stop.
func (run *itemRun) close() {
	run.stop()

	if run.answer != nil {
		run.answer.Close()
	}

	run.record.Close()
	run.grant.Release()
}
