package forwarder

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"limpetrail/exchanger"
	"limpetrail/gauger"
	"limpetrail/placer"
)

const (
	// maxBufferedBytes is the longest answer that is read completely before it is
	// passed on, so that the call can be retried if the answer breaks off.
	maxBufferedBytes = 128 << 10
	// unreservedBytes is how much of it needs no reservation. Most answers are shorter.
	unreservedBytes = 16 << 10
	// readBufferBytes is the size of one read from a longer answer.
	readBufferBytes = 4 << 10
	// partBytes is the size of one read from a stream. It holds several events.
	partBytes = 2 << 10
)

// forwardWhole passes on an answer that is not an event stream. An answer that breaks
// off within the first maxBufferedBytes may be retried.
func (delivery *delivery) forwardWhole(ctx context.Context, current *attempt, reported report) (Result, bool) {
	answer, body, err := current.answer, reported.part, reported.err
	isWhole := errors.Is(err, io.EOF)
	// A server that stops right after the head of an answer without a length leaves no other sign.
	if isWhole && !answer.Framed && (len(body) == 0 || current.run.ServerGone(ctx)) {
		isWhole, err = false, errors.New(endedEarly)
	}

	if err != nil && !isWhole {
		return delivery.handlePartError(ctx, current, err)
	}

	delivery.lead(current)

	if answer.Status < http.StatusMultipleChoices {
		current.run.Begin()
	}

	length := answer.Length
	if length < 0 && isWhole {
		length = int64(len(body))
	}

	delivery.sendHead(answer, length)

	if err := delivery.sink.Write(body); err != nil {
		return Result{Outcome: Cancelled, Reason: err.Error()}, true
	}

	if isWhole {
		current.grant.Observe(observationOf(answer), 0)
		delivery.end(current)

		return Result{Outcome: Answered}, true
	}

	defer delivery.end(current)

	return delivery.forwardRemainder(ctx, current)
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
func (delivery *delivery) forwardRemainder(ctx context.Context, current *attempt) (Result, bool) {
	answer, grant := current.answer, current.grant
	buffer := make([]byte, readBufferBytes)

	for {
		count, err := answer.Read(buffer)
		if count > 0 {
			if err := delivery.sink.Write(buffer[:count]); err != nil {
				return Result{Outcome: Cancelled, Reason: err.Error()}, true
			}
		}

		switch {
		case errors.Is(err, io.EOF) && !answer.Framed && current.run.ServerGone(ctx):
			grant.Observe(placer.Unreachable, 0)

			return Result{Outcome: Broken, Reason: endedEarly}, true
		case errors.Is(err, io.EOF):
			grant.Observe(observationOf(answer), 0)
			// The connection can be used again.
			answer.Close()

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

// forwardPart passes on events as they arrive, only complete ones and each once, so
// that another server can continue after the last. The head goes with the first event: a
// stream that breaks off before it can still be answered with an error.
func (delivery *delivery) forwardPart(ctx context.Context, current *attempt, reported report) (Result, bool) {
	countBefore, wholeBefore, arrivedAt := delivery.eventCount, delivery.wholeEvents, time.Now()

	if err := delivery.forwardEvents(current, reported.part); err != nil {
		return delivery.handleForwardError(ctx, current, err)
	}

	// Bytes that do not complete an event do not count.
	if delivery.eventCount > countBefore {
		current.silentAt = time.Now().Add(silenceLimit(delivery.call.Route))
		current.silenceObserved = false
		current.run.Begin()
	}

	if delivery.wholeEvents > wholeBefore {
		current.grant.ObserveEvents(placer.Events{
			Count: delivery.wholeEvents - wholeBefore, ArrivedAt: arrivedAt, HandledAt: time.Now(),
			Targets: gauger.Targets{FirstEvent: delivery.call.Route.LatencyTarget, EventGap: delivery.call.Route.EventGapTarget},
		})
	}

	err := reported.err

	switch {
	case err == nil:
		return Result{}, false
	case errors.Is(err, io.EOF) && current.parser.AtEventBoundary() && (current.answer.Framed || current.run.EndedByItself(ctx)):
		delivery.lead(current)
		current.grant.Observe(placer.Complete, 0)
		delivery.sendStreamHead(current.answer)
		delivery.end(current)

		return Result{Outcome: Answered}, true
	case errors.Is(err, io.EOF):
		return delivery.handlePartError(ctx, current, errors.New(endedEarly))
	default:
		return delivery.handlePartError(ctx, current, err)
	}
}

func (delivery *delivery) sendStreamHead(answer *exchanger.Answer) {
	if !delivery.headSent {
		delivery.sendHead(answer, -1)
	}
}

// endedEarly is the reason of an answer that ended without an error and is not complete.
const endedEarly = "The answer ended within an event, or has no length and ended with its server or without a byte or an event."

// errCallerDisconnected is the type of the error when the caller's connection no longer accepts data.
const errCallerDisconnected = errors.ConstError("the caller disconnected")

// forwardEvents adds the bytes read to the parser and passes the events that they
// complete on to the caller, in order.
func (delivery *delivery) forwardEvents(current *attempt, read []byte) error {
	if err := current.parser.Write(read); err != nil {
		return errors.Trace(err)
	}

	numbered, countBefore := delivery.lastEventID >= 0, delivery.eventCount

	ready, sequenceErr := delivery.consecutiveEvents(current.parser)
	// Comments do not show that a server goes on with the stream.
	if len(ready) == 0 || len(delivery.running) > 1 && delivery.eventCount == countBefore {
		return sequenceErr
	}

	delivery.lead(current)

	if !numbered && delivery.lastEventID >= 0 {
		delivery.recordOrigin(current.software)
	}

	if delivery.timeToFirstByte == 0 {
		delivery.timeToFirstByte = time.Since(delivery.startedAt)
	}

	delivery.sendStreamHead(current.answer)

	if err := delivery.sink.Write(ready); err != nil {
		return errors.Annotate(errors.WithType(err, errCallerDisconnected), "passing on a stream")
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

		if !event.Comment {
			delivery.wholeEvents++
		}

		if !event.Comment || len(delivery.running) == 1 {
			delivery.eventCount++
		}

		ready = append(ready, event.Raw...)
	}
}

// handleForwardError ends or retries a call after a part of a stream that could not be
// passed on.
func (delivery *delivery) handleForwardError(ctx context.Context, current *attempt, err error) (Result, bool) {
	if errors.Is(err, errCallerDisconnected) {
		return Result{Outcome: Cancelled, Reason: err.Error()}, true
	}

	// The goroutine still reads.
	current.stop()

	return delivery.handlePartError(ctx, current, err)
}

// handlePartError ends or retries a call after its answer broke off.
func (delivery *delivery) handlePartError(ctx context.Context, current *attempt, err error) (Result, bool) {
	failure := exchanger.FailureError{}
	if errors.As(err, &failure) && failure.Kind == exchanger.Cancelled {
		return Result{Outcome: Cancelled, Reason: failure.Error()}, true
	}

	current.grant.Observe(current.run.BreakOff(ctx, err.Error()), 0)

	return delivery.retryOrEnd(current, err.Error())
}
