package bufferer

import (
	"cmp"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/juju/errors"

	"limpetrail/reserver"
)

const (
	// firstBodyBytes is allocated for a body before any of it has arrived. Most prompts fit.
	firstBodyBytes = 4 << 10
	// defaultProgressTimeout is the time for a head if the configuration does not set it (package limiter).
	defaultProgressTimeout = 10 * time.Second
)

// ErrBodyTooSlow is the cause if a body stops arriving or takes as long as its route allows.
const ErrBodyTooSlow = errors.ConstError("the body did not arrive in time")

// RefusedBodyError is the error of a body that does not fit into the memory.
type RefusedBodyError struct {
	Verdict reserver.Verdict
}

// Error implements error.
func (refused RefusedBodyError) Error() string {
	return "no memory for the body: " + refused.Verdict.String()
}

// BodyLimits bound a body and the time in which it arrives.
type BodyLimits struct {
	Bytes int64
	// ProgressTimeout is how long no byte may arrive; 0 for the default.
	ProgressTimeout time.Duration
	// Deadline is when the body must have arrived.
	Deadline time.Time
}

// BodyReader reads the body of a request and reserves what it allocates, which grows with what arrives.
type BodyReader struct {
	source      io.Reader
	controller  *http.ResponseController
	reservation *reserver.Reservation
	// declared is the length in the head, or -1.
	declared int64
	// progressTimeout is how long no byte may arrive.
	progressTimeout time.Duration
	// deadline is when the body must have arrived.
	deadline time.Time
	// Received is how many bytes have arrived.
	Received int
}

// NewBodyReader returns a reader of the request's body.
func NewBodyReader(writer http.ResponseWriter, request *http.Request, limits BodyLimits, reservation *reserver.Reservation) *BodyReader {
	return &BodyReader{
		source:          http.MaxBytesReader(writer, request.Body, limits.Bytes),
		controller:      http.NewResponseController(writer),
		reservation:     reservation,
		declared:        request.ContentLength,
		progressTimeout: cmp.Or(max(0, limits.ProgressTimeout), defaultProgressTimeout),
		deadline:        limits.Deadline,
	}
}

// ReadAll reads the body to its end. After an error the reservation must be released.
func (reader *BodyReader) ReadAll() ([]byte, error) {
	body := []byte{}
	if reader.declared == 0 {
		return body, nil
	}

	for {
		if reader.Received == len(body) {
			grown, err := reader.grow(body)
			if err != nil {
				return nil, err
			}

			body = grown
		}

		count, err := reader.readPart(body[reader.Received:])
		reader.Received += count

		if errors.Is(err, io.EOF) {
			// Later reads on the connection have no deadline. This fails only if it is closed.
			_ = reader.controller.SetReadDeadline(time.Time{})

			return body[:reader.Received], nil
		}

		if err != nil {
			return nil, err
		}
	}
}

// readPart reads once. Writers without deadlines, such as test recorders, wait for ever.
func (reader *BodyReader) readPart(buffer []byte) (int, error) {
	deadline := time.Now().Add(reader.progressTimeout)
	if reader.deadline.Before(deadline) {
		deadline = reader.deadline
	}

	_ = reader.controller.SetReadDeadline(deadline)

	count, err := reader.source.Read(buffer)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return count, errors.WithType(err, ErrBodyTooSlow)
	}

	return count, errors.Trace(err)
}

// grow returns a longer buffer with the body so far. A body that has its declared length needs a little
// more only to see its end.
func (reader *BodyReader) grow(body []byte) ([]byte, error) {
	length := max(firstBodyBytes, 2*len(body))
	if declared := int(reader.declared); declared > len(body) {
		length = min(length, declared)
	}

	if verdict := reader.reservation.Grow(int64(length - len(body))); verdict != reserver.Granted {
		return nil, RefusedBodyError{Verdict: verdict}
	}

	grown := make([]byte, length)
	copy(grown, body)

	return grown, nil
}
