package forwarder

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"limpetrail/exchanger"
	"limpetrail/placer"
)

const (
	// maxBufferedBytes is the longest answer that is read completely before it is
	// passed on, so that the call can be retried if the answer breaks off.
	maxBufferedBytes = 128 << 10
	// readBufferBytes is the size of one read from a longer answer or a stream.
	readBufferBytes = 4 << 10
)

// forwardWhole passes on an answer that is not an event stream. An answer that breaks
// off within the first maxBufferedBytes may be retried.
func (delivery *delivery) forwardWhole(ctx context.Context, grant *placer.Grant, answer *exchanger.Answer, lastAttempt bool) (Result, bool) {
	body, err := io.ReadAll(io.LimitReader(answer, maxBufferedBytes))
	// A server that stops right after the head of an answer without a length leaves no other sign.
	if err == nil && !answer.Framed && len(body) < maxBufferedBytes && (len(body) == 0 || delivery.run.ServerGone(ctx)) {
		err = errors.New(endedEarly)
	}

	if err != nil {
		grant.Observe(delivery.run.BreakOff(ctx, err.Error()), 0)

		return delivery.retryOrEnd(grant, err.Error(), lastAttempt)
	}

	if answer.Status < http.StatusMultipleChoices {
		delivery.run.Begin()
	}

	length := answer.Length
	if length < 0 && len(body) < maxBufferedBytes {
		length = int64(len(body))
	}

	delivery.sendHead(answer, length)

	if err := delivery.sink.Write(body); err != nil {
		return Result{Outcome: Cancelled, Reason: err.Error()}, true
	}

	if len(body) < maxBufferedBytes {
		grant.Observe(observationOf(answer), 0)

		return Result{Outcome: Answered}, true
	}

	return delivery.forwardRemainder(ctx, grant, answer)
}

// observationOf returns what a complete answer shows about the health of its server.
// A 504 only says that the call's time ended and is not counted as a failure.
func observationOf(answer *exchanger.Answer) placer.Observation {
	if answer.Status >= http.StatusInternalServerError && answer.Status != http.StatusGatewayTimeout {
		return placer.Failed
	}

	return placer.Complete
}

// forwardRemainder passes on the part of a long answer that was not buffered.
func (delivery *delivery) forwardRemainder(ctx context.Context, grant *placer.Grant, answer *exchanger.Answer) (Result, bool) {
	buffer := make([]byte, readBufferBytes)

	for {
		count, err := answer.Read(buffer)
		if count > 0 {
			if err := delivery.sink.Write(buffer[:count]); err != nil {
				return Result{Outcome: Cancelled, Reason: err.Error()}, true
			}
		}

		switch {
		case errors.Is(err, io.EOF) && !answer.Framed && delivery.run.ServerGone(ctx):
			grant.Observe(placer.Unreachable, 0)

			return Result{Outcome: Broken, Reason: endedEarly}, true
		case errors.Is(err, io.EOF):
			grant.Observe(observationOf(answer), 0)

			return Result{Outcome: Answered}, true
		case err != nil:
			grant.Observe(placer.Broken, 0)

			return Result{Outcome: Broken, Reason: err.Error()}, true
		}
	}
}

func (delivery *delivery) sendHead(answer *exchanger.Answer, length int64) {
	delivery.headSent = true
	delivery.status = answer.Status
	delivery.sink.WriteHead(answer.Status, answer.Header, length)
}

// forwardStream passes on events as they arrive, only complete ones and each once, so
// that another server can continue after the last. The head goes with the first event: a
// stream that breaks off before it can still be answered with an error.
func (delivery *delivery) forwardStream(ctx context.Context, grant *placer.Grant, answer *exchanger.Answer, lastAttempt bool) (Result, bool) {
	delivery.streamStarted = true

	if !delivery.attestStart(ctx, grant.Server, answer) {
		return delivery.retryOrEnd(grant, "The backend server has started again; the stream does not go on there.", lastAttempt)
	}

	parser := answer.EventParser()
	buffer := make([]byte, readBufferBytes)
	// lastEventAt is when the last complete event was passed on. Bytes that do not
	// complete an event do not count.
	lastEventAt, countBefore := time.Now(), delivery.eventCount

	for {
		if waitErr := delivery.awaitPart(answer, lastEventAt, lastAttempt); waitErr != nil {
			return delivery.handleStreamError(ctx, grant, waitErr, lastAttempt)
		}

		count, err := answer.ReadPart(buffer, delivery.call.Deadline)
		if forwardErr := delivery.forwardEvents(answer, parser, buffer[:count]); forwardErr != nil {
			return delivery.handleForwardError(ctx, grant, forwardErr, lastAttempt)
		}

		if delivery.eventCount > countBefore {
			lastEventAt, countBefore = time.Now(), delivery.eventCount
			delivery.run.Begin()
		}

		switch {
		case errors.Is(err, io.EOF) && parser.AtEventBoundary() && (answer.Framed || delivery.run.EndedByItself(ctx)):
			grant.Observe(placer.Complete, 0)
			delivery.sendStreamHead(answer)

			return Result{Outcome: Answered}, true
		case errors.Is(err, io.EOF):
			grant.Observe(delivery.run.BreakOff(ctx, endedEarly), 0)

			return delivery.retryOrEnd(grant, endedEarly, lastAttempt)
		case err != nil:
			return delivery.handleStreamError(ctx, grant, err, lastAttempt)
		}
	}
}

func (delivery *delivery) sendStreamHead(answer *exchanger.Answer) {
	if !delivery.headSent {
		delivery.sendHead(answer, -1)
	}
}

// awaitPart waits for the next part of a stream. It returns an error if no complete
// event has arrived for the silence limit and the call may be retried elsewhere;
// otherwise it waits until the call's deadline.
func (delivery *delivery) awaitPart(answer *exchanger.Answer, lastEventAt time.Time, lastAttempt bool) error {
	if !lastAttempt {
		err := answer.AwaitData(lastEventAt.Add(silenceLimit(delivery.call.Route)))
		if err != nil && delivery.mayRetryElsewhere() {
			return err
		}
	}

	return answer.AwaitData(delivery.call.Deadline)
}

// endedEarly is the reason of an answer that ended without an error and is not complete.
const endedEarly = "The answer ended within an event, or has no length and ended with its server or without a byte or an event."

// errCallerDisconnected is the cause when the caller's connection no longer accepts data.
var errCallerDisconnected = errors.New("the caller disconnected")

// forwardEvents adds the bytes read to the parser and passes the events that they
// complete on to the caller, in order.
func (delivery *delivery) forwardEvents(answer *exchanger.Answer, parser *exchanger.EventParser, read []byte) error {
	if err := parser.Write(read); err != nil {
		return errors.Trace(err)
	}

	numbered := delivery.lastEventID >= 0

	ready, sequenceErr := delivery.consecutiveEvents(parser)
	if len(ready) == 0 {
		return sequenceErr
	}

	if !numbered && delivery.lastEventID >= 0 {
		delivery.recordOrigin()
	}

	if delivery.timeToFirstByte == 0 {
		delivery.timeToFirstByte = time.Since(delivery.startedAt)
	}

	delivery.sendStreamHead(answer)

	if err := delivery.sink.Write(ready); err != nil {
		return errors.Wrap(err, errCallerDisconnected)
	}

	return sequenceErr
}

// consecutiveEvents returns the complete events that continue the stream without a
// gap. It returns an error as well if an event has the wrong number.
func (delivery *delivery) consecutiveEvents(parser *exchanger.EventParser) ([]byte, error) {
	ready := []byte{}

	for {
		event, found := parser.Next()
		if !found {
			return ready, nil
		}

		// What stands between numbered events and is neither one nor a comment comes from
		// another answer or tells of an error.
		if event.ID < 0 && delivery.lastEventID >= 0 && !event.Comment {
			return ready, errors.Errorf("text without a number received after event %d", delivery.lastEventID)
		}

		if event.ID >= 0 {
			if delivery.lastEventID >= 0 && event.ID != delivery.lastEventID+1 {
				return ready, errors.Errorf("event %d received after event %d", event.ID, delivery.lastEventID)
			}

			delivery.lastEventID = event.ID
		}

		delivery.eventCount++

		ready = append(ready, event.Raw...)
	}
}

// handleForwardError ends or retries a call after a part of a stream that could not be
// passed on.
func (delivery *delivery) handleForwardError(ctx context.Context, grant *placer.Grant, err error, lastAttempt bool) (Result, bool) {
	if errors.Is(err, errCallerDisconnected) {
		return Result{Outcome: Cancelled, Reason: err.Error()}, true
	}

	grant.Observe(delivery.run.BreakOff(ctx, err.Error()), 0)

	return delivery.retryOrEnd(grant, err.Error(), lastAttempt)
}

// handleStreamError ends or retries a call after its stream broke off or fell silent.
func (delivery *delivery) handleStreamError(ctx context.Context, grant *placer.Grant, err error, lastAttempt bool) (Result, bool) {
	failure := exchanger.FailureError{}
	if errors.As(err, &failure) && failure.Kind == exchanger.Cancelled {
		delivery.run.Abandon()

		return Result{Outcome: Cancelled, Reason: failure.Error()}, true
	}

	if failure.Kind == exchanger.Unanswered {
		delivery.run.Abandon()
		grant.Observe(placer.Silent, 0)
	} else {
		grant.Observe(delivery.run.BreakOff(ctx, err.Error()), 0)
	}

	return delivery.retryOrEnd(grant, err.Error(), lastAttempt)
}
