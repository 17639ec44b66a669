package forwarder

import (
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"limpetrail/exchanger"
	"limpetrail/placer"
)

const (
	// maxWhole is the longest answer that is read before it is passed on, so
	// that a broken one can be asked for again.
	maxWhole = 128 << 10
	// chunk is read from a stream at once.
	chunk = 4 << 10
)

// whole passes on an answer that is not a stream of events.
func (journey *journey) whole(grant *placer.Grant, answer *exchanger.Answer, last bool) (Result, bool) {
	body, err := io.ReadAll(io.LimitReader(answer, maxWhole))
	if err != nil {
		grant.Observe(placer.Broken, 0)

		return journey.again(grant, err.Error(), last)
	}

	length := answer.Length
	if length < 0 && len(body) < maxWhole {
		length = int64(len(body))
	}

	journey.start(answer, length)

	if err := journey.sink.Write(body); err != nil {
		return Result{Kind: Left, Reason: err.Error()}, true
	}

	if len(body) < maxWhole {
		grant.Observe(wholeOf(answer), 0)

		return Result{Kind: Answered}, true
	}

	return journey.rest(grant, answer)
}

// wholeOf is what a whole answer says of its server. One that says that the time
// is over says nothing.
func wholeOf(answer *exchanger.Answer) placer.Observation {
	if answer.Status >= http.StatusInternalServerError && answer.Status != http.StatusGatewayTimeout {
		return placer.Failed
	}

	return placer.Whole
}

// rest passes on what is too long to be read before.
func (journey *journey) rest(grant *placer.Grant, answer *exchanger.Answer) (Result, bool) {
	buffer := make([]byte, chunk)

	for {
		count, err := answer.Read(buffer)
		if count > 0 {
			if err := journey.sink.Write(buffer[:count]); err != nil {
				return Result{Kind: Left, Reason: err.Error()}, true
			}
		}

		switch {
		case errors.Is(err, io.EOF):
			grant.Observe(wholeOf(answer), 0)

			return Result{Kind: Answered}, true
		case err != nil:
			grant.Observe(placer.Broken, 0)

			return Result{Kind: Broken, Reason: err.Error()}, true
		}
	}
}

func (journey *journey) start(answer *exchanger.Answer, length int64) {
	journey.started = true
	journey.status = answer.Status
	journey.sink.Begin(answer.Status, answer.Header, length)
}

// stream passes events on as they come, only whole ones and each once, so that
// another server can continue after the last.
func (journey *journey) stream(grant *placer.Grant, answer *exchanger.Answer, last bool) (Result, bool) {
	if !journey.started {
		journey.start(answer, -1)
	}

	events := answer.Events()
	buffer := make([]byte, chunk)
	// passed is when the last whole event was passed on. Bytes that complete none
	// do not count.
	passed, before := time.Now(), journey.events

	for {
		if silent := journey.await(answer, passed, last); silent != nil {
			return journey.cut(grant, silent, last)
		}

		count, err := answer.ReadPart(buffer, journey.call.Deadline)
		if failed := journey.passOn(events, buffer[:count]); failed != nil {
			return journey.spoiled(grant, failed, last)
		}

		if journey.events > before {
			passed, before = time.Now(), journey.events
		}

		switch {
		case errors.Is(err, io.EOF) && events.Empty():
			grant.Observe(placer.Whole, 0)

			return Result{Kind: Answered}, true
		case errors.Is(err, io.EOF):
			grant.Observe(placer.Broken, 0)

			return journey.again(grant, "The stream ended within an event.", last)
		case err != nil:
			return journey.cut(grant, err, last)
		}
	}
}

// await waits for the next part of a stream. One without a whole event for long is
// given up if it may go on elsewhere.
func (journey *journey) await(answer *exchanger.Answer, passed time.Time, last bool) error {
	if !last {
		silent := answer.Await(passed.Add(silence(journey.call.Route)))
		if silent != nil && journey.mayGiveUp() {
			return silent
		}
	}

	return answer.Await(journey.call.Deadline)
}

// errCallerLeft is the cause of a part that could not be passed on.
var errCallerLeft = errors.New("the caller left")

// passOn hands the whole events to the caller, in order.
func (journey *journey) passOn(events *exchanger.Events, read []byte) error {
	if err := events.Write(read); err != nil {
		return errors.Trace(err)
	}

	ready, failed := journey.inOrder(events)
	if len(ready) == 0 {
		return failed
	}

	if journey.first == 0 {
		journey.first = time.Since(journey.begun)
	}

	if err := journey.sink.Write(ready); err != nil {
		return errors.Wrap(err, errCallerLeft)
	}

	return failed
}

// inOrder takes the whole events that continue the stream. An error says why
// the next one does not.
func (journey *journey) inOrder(events *exchanger.Events) ([]byte, error) {
	ready := []byte{}

	for {
		event, found := events.Next()
		if !found {
			return ready, nil
		}

		if event.ID >= 0 {
			if journey.after >= 0 && event.ID != journey.after+1 {
				return ready, errors.Errorf("event %d follows %d", event.ID, journey.after)
			}

			journey.after = event.ID
		}

		journey.events++

		ready = append(ready, event.Raw...)
	}
}

// spoiled decides after a part that could not be passed on.
func (journey *journey) spoiled(grant *placer.Grant, err error, last bool) (Result, bool) {
	if errors.Is(err, errCallerLeft) {
		return Result{Kind: Left, Reason: err.Error()}, true
	}

	grant.Observe(placer.Broken, 0)

	return journey.again(grant, err.Error(), last)
}

// cut decides after a stream that ended early or fell silent.
func (journey *journey) cut(grant *placer.Grant, err error, last bool) (Result, bool) {
	failure := exchanger.FailureError{}
	if errors.As(err, &failure) && failure.Fate == exchanger.Left {
		return Result{Kind: Left, Reason: failure.Error()}, true
	}

	if failure.Fate == exchanger.Unanswered {
		grant.Observe(placer.Silent, 0)
	} else {
		grant.Observe(placer.Broken, 0)
	}

	return journey.again(grant, err.Error(), last)
}
