package dispatcher

import (
	"context"

	"github.com/juju/errors"

	"limpetrail/classifier"
	"limpetrail/messenger"
)

// ReadBack is an attempt whose answer is read again.
type ReadBack struct {
	// AttemptID is the one that Begin told.
	AttemptID string
	// Incarnation is the number that the attempt carried. With it, an attempt
	// that the sidecar does not know is revoked there, so that it never runs.
	// Zero leaves such an attempt alone.
	Incarnation uint64
	// Offset is the number of events that are not wanted again.
	Offset uint64
}

// Reading is how a ReadBack ended.
type Reading struct {
	classifier.Outcome
	// Reached is set when the sidecar gave an answer about the attempt.
	Reached bool
	// Known is set when the sidecar knew the attempt.
	Known bool
}

// ReadBack reads the answer of an earlier attempt into the sink, following it
// while it still runs. It never starts, cancels or moves the attempt.
func (dispatcher *Dispatcher) ReadBack(ctx context.Context, wanted ReadBack, sink Sink) Reading {
	requestID, name, valid := SplitAttemptID(wanted.AttemptID)

	replica, found := dispatcher.Router.Find(name)
	if !valid || !found {
		return Reading{Outcome: classifier.NewMayHaveRun("the replica that took the request is not listed", dispatcher.Settings.RetryAfter)}
	}

	attempt := &attempt{
		Dispatcher: dispatcher,
		call:       Call{ID: requestID},
		replica:    replica,
		id:         wanted.AttemptID,
		number:     wanted.Incarnation,
		answer:     &answer{sink: sink},
		offset:     wanted.Offset,
	}
	reading := Reading{}

	for {
		ended, err := attempt.readOn(ctx, &reading)
		if err == nil {
			reading.Outcome = ended.Outcome

			return reading
		}

		attempt.broken++
		if ctx.Err() != nil || attempt.broken > attempt.Settings.Reconnects {
			reading.Outcome = classifier.NewMayHaveRun("no whole answer from replica "+name+": "+err.Error(), attempt.comeBack())

			return reading
		}

		attempt.pause(ctx)
	}
}

// readOn follows the answer over one new connection.
func (attempt *attempt) readOn(ctx context.Context, reading *Reading) (result, error) {
	dialing, cancel := context.WithTimeout(ctx, attempt.Settings.FirstFrame)
	defer cancel()

	conn, err := attempt.Dialer.Fresh(dialing, attempt.replica.Address)
	if err != nil {
		return result{}, errors.Trace(err)
	}

	return attempt.follow(ctx, conn, func(ctx context.Context, client messenger.DRPCSidecarClient) (frameReader, error) {
		stream, err := client.Resume(ctx, &messenger.ResumeRequest{
			Clock:     attempt.now(),
			RequestId: attempt.id,
			Offset:    attempt.offset,
		})

		return &readingStream{frameReader: stream, reading: reading, mayRevoke: attempt.number != 0}, err
	})
}

// readingStream notes what the frames say of the attempt.
type readingStream struct {
	frameReader
	reading   *Reading
	mayRevoke bool
	// noted is set with the first frame that tells whether the attempt is
	// known; the reading belongs to its reader after that.
	noted bool
}

// Recv implements frameReader.
func (stream *readingStream) Recv() (*messenger.Frame, error) {
	frame, err := stream.frameReader.Recv()
	if err != nil || stream.noted {
		return frame, err
	}

	refused := frame.GetKind() == messenger.FrameKind_FRAME_KIND_REFUSED
	unknown := refused && frame.GetFate() == messenger.Fate_FATE_UNKNOWN
	stream.noted = true
	stream.reading.Reached = true
	stream.reading.Known = !unknown

	if unknown && !stream.mayRevoke {
		frame.Fate = messenger.Fate_FATE_MAY_HAVE_RUN
	}

	return frame, nil
}
