package exchanger

import (
	"context"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"limpetrail/kernel"
)

// Answer is an HTTP response whose head has arrived and whose body may be read. It must
// be closed.
type Answer struct {
	Status int
	Header http.Header
	// Length is the length of the body, or -1 if the head does not give it.
	Length int64
	// Framed is true if the answer itself marks where it ends, by a length or in
	// chunks. Other answers end when the connection closes.
	Framed bool
	// Reused is true if the connection was used for an earlier request, of which the server
	// may still send an answer.
	Reused bool
	// ConnectedAt is when the connection had been established.
	ConnectedAt time.Time

	exchanger           *Exchanger
	address             string
	conn                *conn
	context             context.Context //nolint:containedctx // Its end interrupts the reading of the body.
	stopWatchingContext func() bool
	response            *http.Response
	// bodyRemaining is how many bytes of a body of known length are still unread.
	bodyRemaining int64
	// requestWritten is true once the complete request was sent.
	requestWritten atomic.Bool
	// writeEnded is closed when the goroutine that writes a long request has ended; nil if the request
	// was sent before the answer was awaited.
	writeEnded chan struct{}
	// bodyEnded is true once the body was read to its end.
	bodyEnded bool
	closed    bool
}

// roundTrip writes the request and reads the head of the answer.
func (answer *Answer) roundTrip(request Request, options ExchangeOptions) error {
	conn := answer.conn
	if err := conn.SetDeadline(options.HeadDeadline); err != nil {
		return errors.Trace(err)
	}

	conn.bytesAllowed = answer.exchanger.Limits.HeadBytes
	head := request.encode()

	if len(request.Body) <= maxInlineBody {
		if _, err := conn.Write(append(head, request.Body...)); err != nil {
			return errors.Annotate(err, "sending")
		}

		answer.requestWritten.Store(true)
	} else {
		answer.writeEnded = make(chan struct{})

		go answer.writeLongRequest(head, request.Body)
	}

	response, err := answer.readHead(request.Method, options.HeadDeadline)
	if err != nil {
		return errors.Trace(err)
	}

	conn.bytesAllowed, conn.part = answer.exchanger.Limits.BodyBytes, partTimer{}
	answer.response = response
	answer.bodyRemaining = response.ContentLength
	answer.Status, answer.Header, answer.Length = response.StatusCode, response.Header, response.ContentLength
	answer.Framed = IsFramed(response)

	// This fails only if the connection is closed. What was read before still counts.
	_ = conn.SetDeadline(time.Time{})

	return nil
}

// readHead reads the head of the final answer and skips informational ones (1xx).
func (answer *Answer) readHead(method string, deadline time.Time) (*http.Response, error) {
	for range answer.exchanger.Limits.Announcements + 1 {
		if err := answer.AwaitData(deadline); err != nil {
			return nil, errors.Annotate(err, "awaiting an answer")
		}

		answer.beginPart()
		answer.SetDeadline(deadline)

		response, err := http.ReadResponse(answer.conn.reader, &http.Request{Method: method})
		if err != nil {
			return nil, errors.Annotate(answer.conn.limitCause(err), "reading the head of an answer")
		}

		if isInformational(response.StatusCode) {
			continue
		}

		if !kernel.IsFinalStatus(response.StatusCode) {
			return nil, errors.NotValidf("answer with the status %03d", response.StatusCode)
		}

		return response, nil
	}

	return nil, errors.Annotate(ErrLimitExceeded, "answers that only announce another")
}

// beginPart starts the time in which the bytes of the next part may trickle in.
func (answer *Answer) beginPart() {
	answer.conn.part = newPartTimer(answer.exchanger.Limits.PartTime, time.Now())
}

// overduePeekTime is how long a wait still looks for received bytes after its deadline.
const overduePeekTime = time.Millisecond

// AwaitData waits until part of the answer can be read, at most until the deadline. After
// an error the answer is unchanged and can be awaited again.
func (answer *Answer) AwaitData(deadline time.Time) error {
	// Once all of a body of known length was read, nothing more arrives. The next read
	// returns the end at once.
	if answer.response != nil && answer.Length >= 0 && answer.bodyRemaining <= 0 {
		return nil
	}

	answer.SetDeadline(deadline)

	_, err := answer.conn.reader.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		// If this process was suspended, the deadline may have passed although bytes
		// have arrived.
		answer.SetDeadline(time.Now().Add(overduePeekTime))

		_, err = answer.conn.reader.Peek(1)
	}

	if errors.Is(err, os.ErrDeadlineExceeded) {
		return FailureError{Kind: Unanswered, Cause: err}
	}

	// The next read returns any other error.
	return nil
}

// IsSilent reports whether no part of the answer can be read now.
func (answer *Answer) IsSilent() bool {
	return answer.AwaitData(time.Now()) != nil
}

// writeLongRequest writes the request while the answer is awaited. After an error an answer without
// a length is not complete, and the connection is not reused.
func (answer *Answer) writeLongRequest(head, body []byte) {
	defer close(answer.writeEnded)

	if _, err := answer.conn.Write(head); err != nil {
		return
	}

	if _, err := answer.conn.Write(body); err == nil {
		answer.requestWritten.Store(true)
	}
}

// SetDeadline sets the deadline of reads of the body.
func (answer *Answer) SetDeadline(deadline time.Time) {
	// This fails only if the connection is closed, and then the next read fails too.
	_ = answer.conn.SetReadDeadline(deadline)
}

// ReadPart reads the next part of the body. The part must be complete before the deadline, and may
// not trickle in for longer than Limits.PartTime. The zero deadline is none.
func (answer *Answer) ReadPart(buffer []byte, deadline time.Time) (int, error) {
	answer.beginPart()
	answer.SetDeadline(deadline)

	return answer.Read(buffer)
}

// Read reads the body. It returns io.EOF only at the end of a complete body; other
// errors are of the type FailureError.
func (answer *Answer) Read(buffer []byte) (int, error) {
	count, err := answer.response.Body.Read(buffer)
	answer.bodyRemaining -= int64(count)

	switch {
	case err == nil:
		return count, nil
	case errors.Is(err, io.EOF) && !answer.Framed && !answer.awaitRequestWritten():
		return count, answer.exchanger.classify(answer.context, errors.Trace(errEndedBeforeRequest))
	case errors.Is(err, io.EOF):
		answer.bodyEnded = true

		return count, io.EOF
	default:
		return count, answer.exchanger.classify(answer.context, errors.Annotate(answer.conn.limitCause(err), "reading an answer"))
	}
}

const (
	// writeEndTime is how long the end of an answer without a length waits until the request is
	// written. A server that has closed the connection resets it within a round trip; one that has
	// only closed its direction reads a body of 4 MB in less at 22 Mbit/s.
	writeEndTime = 2 * time.Second

	errEndedBeforeRequest = errors.ConstError("the answer has no length and ended before the request was written")
)

// awaitRequestWritten reports whether the request was written without an error. The writer may receive
// the error of a reset connection, after which the reader sees only an end.
func (answer *Answer) awaitRequestWritten() bool {
	if answer.writeEnded != nil {
		timer := time.NewTimer(writeEndTime)
		defer timer.Stop()

		select {
		case <-answer.writeEnded:
		case <-answer.context.Done():
		case <-timer.C:
		}
	}

	return answer.requestWritten.Load()
}

// EventParser returns a parser for the answer's event stream.
func (answer *Answer) EventParser() *EventParser {
	return NewEventParser(answer.exchanger.Limits.EventBytes)
}

// Close ends the exchange. The connection is kept for reuse if the request was sent and
// the answer read completely; otherwise it is closed, which makes the server stop.
func (answer *Answer) Close() {
	if answer.closed {
		return
	}

	answer.closed = true

	contextOpen := answer.stopWatchingContext()
	if contextOpen && answer.bodyEnded && answer.Framed && answer.requestWritten.Load() && answer.conn.markIdle(answer.response, time.Now()) {
		if answer.conn.SetDeadline(time.Time{}) == nil {
			answer.exchanger.pushIdle(answer.address, answer.conn)

			return
		}
	}

	answer.conn.Close()
}
