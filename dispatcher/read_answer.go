package dispatcher

import (
	"context"

	"github.com/juju/errors"

	"limpetrail/classifier"
	"limpetrail/messenger"
)

// ReadRequest asks to read the answer of an earlier attempt again.
type ReadRequest struct {
	// AttemptID is the ID that was passed to Sink.Begin.
	AttemptID string
	// Incarnation is the sidecar's incarnation that the attempt carried. If it is
	// set, an attempt that the sidecar does not know is revoked there, so that it
	// never runs. If it is zero, such an attempt is not revoked.
	Incarnation uint64
	// Offset is the number of events to skip.
	Offset uint64
}

// ReadResult is the result of reading an earlier answer again.
type ReadResult struct {
	classifier.Outcome
	// Reached is set if the sidecar answered whether it knows the attempt.
	Reached bool
	// Known is set if the sidecar knew the attempt.
	Known bool
}

// ReadAnswer reads the answer of an earlier attempt into the sink, and waits for the
// rest while the attempt still runs. It never starts, cancels or moves the attempt.
func (dispatcher *Dispatcher) ReadAnswer(ctx context.Context, request ReadRequest, sink Sink) ReadResult {
	requestID, replicaName, valid := SplitAttemptID(request.AttemptID)

	replica, found := dispatcher.Router.Find(replicaName)
	if !valid || !found {
		return ReadResult{Outcome: classifier.NewMayHaveRun("the replica that took the request is not listed", dispatcher.Settings.RetryAfter)}
	}

	attempt := &attempt{
		Dispatcher:  dispatcher,
		call:        Call{ID: requestID},
		replica:     replica,
		id:          request.AttemptID,
		incarnation: request.Incarnation,
		answer:      &answerWriter{sink: sink},
		offset:      request.Offset,
	}
	readResult := ReadResult{}

	for {
		attemptResult, err := attempt.resumeReading(ctx, &readResult)
		if err == nil {
			readResult.Outcome = attemptResult.Outcome

			return readResult
		}

		attempt.brokenConnections++
		if ctx.Err() != nil || attempt.brokenConnections > attempt.Settings.Reconnects {
			readResult.Outcome = classifier.NewMayHaveRun("no whole answer from replica "+replicaName+": "+err.Error(), attempt.retryAfter())

			return readResult
		}

		attempt.waitBeforeReconnect(ctx)
	}
}

// resumeReading continues reading the answer over one new connection.
func (attempt *attempt) resumeReading(ctx context.Context, readResult *ReadResult) (result, error) {
	dialCtx, cancel := context.WithTimeout(ctx, attempt.Settings.FirstFrame)
	defer cancel()

	conn, err := attempt.Dialer.Dial(dialCtx, attempt.replica.Address)
	if err != nil {
		return result{}, errors.Trace(err)
	}

	return attempt.followAnswer(ctx, conn, func(ctx context.Context, client messenger.DRPCSidecarClient) (frameReader, error) {
		stream, err := client.Resume(ctx, &messenger.ResumeRequest{
			Clock:     attempt.clockStamp(),
			RequestId: attempt.id,
			Offset:    attempt.offset,
		})

		return &observedStream{frameReader: stream, readResult: readResult, mayRevoke: attempt.incarnation != 0}, err
	})
}

// observedStream records in readResult whether the first frame shows that the sidecar
// knows the attempt.
type observedStream struct {
	frameReader
	readResult *ReadResult
	// mayRevoke is unset if the attempt's incarnation is not known. An unknown
	// attempt then counts as one that may have run, and isn't revoked.
	mayRevoke bool
	// observed is set with the first frame. readResult isn't written after that,
	// since finishStream drains the stream in the background after the answer.
	observed bool
}

// Recv implements frameReader.
func (stream *observedStream) Recv() (*messenger.Frame, error) {
	frame, err := stream.frameReader.Recv()
	if err != nil || stream.observed {
		return frame, err
	}

	refused := frame.GetKind() == messenger.FrameKind_FRAME_KIND_REFUSED
	unknown := refused && frame.GetFate() == messenger.Fate_FATE_UNKNOWN
	stream.observed = true
	stream.readResult.Reached = true
	stream.readResult.Known = !unknown

	if unknown && !stream.mayRevoke {
		frame.Fate = messenger.Fate_FATE_MAY_HAVE_RUN
	}

	return frame, nil
}
