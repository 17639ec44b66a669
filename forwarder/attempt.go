package forwarder

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/juju/errors"

	"limpetrail/exchanger"
	"limpetrail/placer"
	"limpetrail/quarantiner"
)

// attempt is one try to have a backend server answer the call. Its goroutine gets a place, sends the
// call and reads the answer. It reports each step to the delivery, which alone decides by it.
type attempt struct {
	delivery    *delivery
	work        placer.Work
	lastEventID int
	cancel      context.CancelFunc
	// done is closed when the goroutine has ended.
	done chan struct{}

	// The goroutine sets these before the report that they belong to.
	grant  *placer.Grant
	run    *quarantiner.Run
	answer *exchanger.Answer
	// software is the version that the answer is known to come from; empty if it is not certain.
	software string
	// isStream is true if the answer is a stream of events.
	isStream bool

	// The rest belongs to the delivery.

	parser *exchanger.EventParser
	sentAt time.Time
	// silentAt is when the attempt counts as silent; zero for never.
	silentAt time.Time
	// silenceObserved is set once the placer knows of the present silence.
	silenceObserved bool
}

// step is how far an attempt has come.
type step int

const (
	// unplaced attempts got no place. They have not run.
	unplaced step = iota
	// blocked attempts must not be sent, as the call or a part of its prompt ends servers.
	blocked
	// placed attempts have a place and are being sent.
	placed
	// failed attempts got no answer.
	failed
	// answered attempts got the head of an answer.
	answered
	// partRead attempts got a part of a stream, or the beginning of a whole answer.
	partRead
)

// report says what happened to an attempt.
type report struct {
	attempt  *attempt
	step     step
	decision placer.Decision
	block    quarantiner.Block
	reply    Reply
	part     []byte
	// err ends the attempt; io.EOF is the end of its answer.
	err error
}

// newAttempt starts an attempt that goes on after the last event that was passed on.
func newAttempt(ctx context.Context, delivery *delivery, work placer.Work) *attempt {
	ctx, cancel := context.WithCancel(ctx)
	added := &attempt{
		delivery: delivery, work: work, lastEventID: delivery.lastEventID, cancel: cancel, done: make(chan struct{}),
	}

	go added.play(ctx)

	return added
}

// report hands a step to the delivery. It returns false if the attempt was stopped.
func (attempt *attempt) report(ctx context.Context, reported report) bool {
	reported.attempt = attempt

	select {
	case attempt.delivery.reports <- reported:
		return true
	case <-ctx.Done():
		return false
	}
}

func (attempt *attempt) play(ctx context.Context) {
	defer close(attempt.done)

	if attempt.getPlace(ctx) {
		attempt.send(ctx)
	}
}

// getPlace waits for a place. It returns false if the attempt ends without one.
func (attempt *attempt) getPlace(ctx context.Context) bool {
	forwarder := attempt.delivery.forwarder

	decision := forwarder.Placer.Place(ctx, attempt.work)
	if decision.Verdict != placer.Placed {
		attempt.report(ctx, report{step: unplaced, decision: decision})

		return false
	}

	attempt.grant = decision.Grant

	// The call may have waited for its place, or another part was found deadly meanwhile.
	run, block, isBlocked := forwarder.Quarantiner.Start(attempt.delivery.quarantineRequest, decision.Grant.Server)
	if isBlocked {
		attempt.report(ctx, report{step: blocked, block: block})

		return false
	}

	attempt.run, attempt.software = run, decision.Grant.Server.Software

	return attempt.report(ctx, report{step: placed, decision: decision})
}

func (attempt *attempt) send(ctx context.Context) {
	call := attempt.delivery.call

	reply, err := attempt.delivery.forwarder.Backend.Send(ctx, attempt.grant.Server, call, Attempt{
		Remaining: time.Until(call.Deadline), LastEventID: attempt.lastEventID, Withdrawn: attempt.grant.Withdrawn, Repeatable: call.Route.Repeatable(),
	})
	if err != nil {
		attempt.report(ctx, report{step: failed, err: err})

		return
	}

	if reply.Kind != Served {
		attempt.report(ctx, report{step: answered, reply: reply})

		return
	}

	attempt.answer = reply.Answer
	attempt.isStream = attempt.delivery.isEventStream(reply.Answer)

	if attempt.isStream {
		err = attempt.attestStart(ctx)
	}

	if !attempt.report(ctx, report{step: answered, reply: reply, err: err}) {
		return
	}

	if attempt.isStream {
		attempt.readStream(ctx)
	} else {
		attempt.readWhole(ctx)
	}
}

// readStream reports the parts of a stream. The delivery is done with a part when it takes the next
// one, so that two buffers are enough.
func (attempt *attempt) readStream(ctx context.Context) {
	buffers := [2][]byte{make([]byte, partBytes), make([]byte, partBytes)}

	for number := 0; ; number++ {
		buffer := buffers[number%len(buffers)]

		count, err := attempt.answer.ReadPart(buffer, time.Time{})
		if err == io.EOF { //nolint:errorlint // The reader returns it as it is.
			// The connection can be used again.
			attempt.answer.Close()
		}

		if !attempt.report(ctx, report{step: partRead, part: buffer[:count], err: err}) || err != nil {
			return
		}
	}
}

// readWhole reports the first maxBufferedBytes of an answer that is not a stream, or fewer if there is
// no memory for them. The error is io.EOF if that is all of it.
func (attempt *attempt) readWhole(ctx context.Context) {
	body, err := attempt.readBuffered()
	if errors.Is(err, io.EOF) {
		attempt.answer.Close()
	}

	attempt.report(ctx, report{step: partRead, part: body, err: err})
}

func (attempt *attempt) readBuffered() ([]byte, error) {
	buffer := bytes.Buffer{}

	for limit := int64(unreservedBytes); ; limit *= 2 {
		if _, err := io.CopyN(&buffer, attempt.answer, limit-int64(buffer.Len())); err != nil {
			return buffer.Bytes(), err //nolint:wrapcheck // The end of the answer is io.EOF itself.
		}

		if limit >= maxBufferedBytes || !attempt.delivery.call.mayBuffer(limit) {
			return buffer.Bytes(), nil
		}
	}
}

// isSilent reports whether the server should have sent something by now.
func (attempt *attempt) isSilent(now time.Time) bool {
	return !attempt.silentAt.IsZero() && !now.Before(attempt.silentAt)
}

// stop ends the goroutine, and the exchange if it has not ended.
func (attempt *attempt) stop() {
	attempt.cancel()
	<-attempt.done
}

// close ends the attempt and releases its place. A server that still works on it is made to stop.
func (attempt *attempt) close() {
	attempt.stop()

	if attempt.answer != nil {
		attempt.answer.Close()
	}

	if attempt.run != nil {
		attempt.run.Close()
	}

	if attempt.grant != nil {
		attempt.grant.Release()
	}
}
