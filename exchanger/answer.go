package exchanger

import (
	"context"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// Answer is an answer whose head has arrived. It must be closed.
type Answer struct {
	Status int
	Header http.Header
	// Length is the body's, or -1 where it is not known beforehand.
	Length int64
	// Framed answers say where they end; others end with the connection.
	Framed bool

	exchanger *Exchanger
	address   string
	conn      *conn
	context   context.Context //nolint:containedctx // It ends the reading of the body.
	stop      func() bool
	response  *http.Response
	// left is how many bytes of a body of known length are still to be read.
	left int64
	// written tells whether the whole request was sent.
	written atomic.Bool
	// ended tells whether the body was read to its end.
	ended  bool
	closed bool
}

// send writes the request and reads the head of the answer.
func (answer *Answer) send(request Request, terms Terms) error {
	conn := answer.conn
	if err := conn.SetDeadline(terms.LastBy); err != nil {
		return errors.Trace(err)
	}

	conn.left = answer.exchanger.Limits.HeadBytes
	head := request.encode()

	if len(request.Body) <= inlineBody {
		if _, err := conn.Write(append(head, request.Body...)); err != nil {
			return errors.Annotate(err, "sending")
		}

		answer.written.Store(true)
	} else {
		go answer.sendLong(head, request.Body)
	}

	if err := answer.awaitFirst(terms); err != nil {
		return errors.Trace(err)
	}

	response, err := answer.readHead(request.Method, terms.LastBy)
	if err != nil {
		return errors.Trace(err)
	}

	conn.left = answer.exchanger.Limits.BodyBytes
	answer.response = response
	answer.left = response.ContentLength
	answer.Status, answer.Header, answer.Length = response.StatusCode, response.Header, response.ContentLength
	answer.Framed = wholeLength(response)

	return errors.Trace(conn.SetDeadline(time.Time{}))
}

// readHead reads the head of the answer, after those that only announce it.
func (answer *Answer) readHead(method string, lastBy time.Time) (*http.Response, error) {
	for range answer.exchanger.Limits.Announcements + 1 {
		if err := answer.Await(lastBy); err != nil {
			return nil, errors.Annotate(err, "awaiting an answer")
		}

		answer.boundPart(lastBy)

		response, err := http.ReadResponse(answer.conn.reader, &http.Request{Method: method})
		if err != nil {
			return nil, errors.Annotate(answer.conn.cause(err), "reading the head of an answer")
		}

		if !informational(response) {
			return response, nil
		}
	}

	return nil, errors.Annotate(ErrTooLong, "answers that only announce another")
}

// boundPart sets until when a part that has begun to arrive has to be there.
func (answer *Answer) boundPart(lastBy time.Time) {
	partBy := time.Now().Add(answer.exchanger.Limits.PartTime)
	if partBy.Before(lastBy) {
		lastBy = partBy
	}

	answer.SetDeadline(lastBy)
}

// awaitFirst waits for the first byte of the answer.
func (answer *Answer) awaitFirst(terms Terms) error {
	if !terms.FirstBy.IsZero() && terms.FirstBy.Before(terms.LastBy) {
		err := answer.Await(terms.FirstBy)
		if err != nil && (terms.GiveUp == nil || terms.GiveUp()) {
			return errors.Annotate(err, "awaiting an answer")
		}
	}

	return nil
}

// lateLook is how long a wait that is over looks for bytes that have come
// meanwhile.
const lateLook = time.Millisecond

// Await waits until something can be read, at most until a time. A wait that
// fails leaves the answer as it was, so that it can be awaited again.
func (answer *Answer) Await(until time.Time) error {
	// Nothing comes after the last byte of a body, and its end is there to be read.
	if answer.response != nil && answer.Length >= 0 && answer.left <= 0 {
		return nil
	}

	answer.SetDeadline(until)

	_, err := answer.conn.reader.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		// A process that was suspended finds its deadline over and the bytes there.
		answer.SetDeadline(time.Now().Add(lateLook))

		_, err = answer.conn.reader.Peek(1)
	}

	if errors.Is(err, os.ErrDeadlineExceeded) {
		return FailureError{Fate: Unanswered, Cause: err}
	}

	// Any other end shows in the next read.
	return nil
}

// sendLong writes a long body while the answer is awaited. A failure shows in
// the reading of the answer, or in a connection that is not used again.
func (answer *Answer) sendLong(head, body []byte) {
	if _, err := answer.conn.Write(head); err != nil {
		return
	}

	if _, err := answer.conn.Write(body); err == nil {
		answer.written.Store(true)
	}
}

// SetDeadline bounds the reading of the body.
func (answer *Answer) SetDeadline(deadline time.Time) {
	// It fails on a closed connection only, and then the next read fails.
	_ = answer.conn.SetReadDeadline(deadline)
}

// ReadPart reads what has begun to arrive of the body; see Await and Read.
func (answer *Answer) ReadPart(buffer []byte, lastBy time.Time) (int, error) {
	answer.boundPart(lastBy)

	return answer.Read(buffer)
}

// Read reads the body. It returns io.EOF only at the end of a whole body;
// other errors are of the type FailureError.
func (answer *Answer) Read(buffer []byte) (int, error) {
	count, err := answer.response.Body.Read(buffer)
	answer.left -= int64(count)

	switch {
	case err == nil:
		return count, nil
	case errors.Is(err, io.EOF):
		answer.ended = true

		return count, io.EOF
	default:
		return count, answer.exchanger.failure(answer.context, errors.Annotate(answer.conn.cause(err), "reading an answer"))
	}
}

// Events returns a cutter for the answer's stream.
func (answer *Answer) Events() *Events {
	return NewEvents(answer.exchanger.Limits.EventBytes)
}

// Close ends the exchange. The connection is kept if both sides are done with
// it; otherwise it is closed, which makes the server stop.
func (answer *Answer) Close() {
	if answer.closed {
		return
	}

	answer.closed = true

	open := answer.stop()
	if open && answer.ended && answer.Framed && answer.written.Load() && answer.conn.rest(answer.response, time.Now()) {
		if answer.conn.SetDeadline(time.Time{}) == nil {
			answer.exchanger.put(answer.address, answer.conn)

			return
		}
	}

	answer.conn.Close()
}
