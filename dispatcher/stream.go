package dispatcher

import (
	"context"
	"time"

	"github.com/juju/errors"
	"storj.io/drpc/drpcpool"

	"limpetrail/classifier"
	"limpetrail/messenger"
	"limpetrail/recorder"
	"limpetrail/retrier"
	"limpetrail/router"
)

// frameReader is the receiving side of the Execute and Resume streams.
type frameReader interface {
	Recv() (*messenger.Frame, error)
}

// streamOpener opens an Execute or Resume stream.
type streamOpener func(ctx context.Context, client messenger.DRPCSidecarClient) (frameReader, error)

// followAnswer reads frames until the answer ends. An error means that the
// connection broke or went silent; the request may still run.
func (attempt *attempt) followAnswer(ctx context.Context, conn drpcpool.Conn, open streamOpener) (result, error) {
	// The stream's context isn't cancelled with the end of the answer, so that the
	// sidecar can close the stream and the connection can be reused.
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	release := context.AfterFunc(ctx, cancel)

	defer release()

	watchdog := time.AfterFunc(attempt.Settings.FirstFrame, cancel)
	defer watchdog.Stop()

	stream, err := open(streamCtx, messenger.NewDRPCSidecarClient(conn))
	if err != nil {
		cancel()
		conn.Close()

		return result{}, errors.Trace(err)
	}

	attemptResult, err := attempt.readFrames(ctx, stream, watchdog)
	if err != nil {
		silent := streamCtx.Err() != nil

		cancel()
		conn.Close()

		if silent {
			err = errors.Timeoutf("frame from %s", attempt.replica.Name)
		}

		return result{}, err
	}

	go attempt.finishStream(stream, conn, cancel)

	return attemptResult, nil
}

// finishStream waits until the sidecar has closed the stream and returns the
// connection to the pool. It cancels the stream's context only if that takes too
// long: cancelling it right after the end can still close the connection.
func (attempt *attempt) finishStream(stream frameReader, conn drpcpool.Conn, cancel func()) {
	watchdog := time.AfterFunc(attempt.Settings.FirstFrame, cancel)
	defer watchdog.Stop()

	for {
		if _, err := stream.Recv(); err != nil {
			break
		}
	}

	if !watchdog.Stop() {
		conn.Close()

		return
	}

	attempt.Dialer.Release(attempt.replica.Address, conn)
}

// readFrames handles frames until one ends the answer. The watchdog runs only while
// waiting for a frame, so that a slow caller doesn't count as a silent connection.
func (attempt *attempt) readFrames(ctx context.Context, stream frameReader, watchdog *time.Timer) (result, error) {
	for {
		frame, err := stream.Recv()
		if err != nil {
			return result{}, errors.Trace(err)
		}

		watchdog.Stop()

		attempt.heardAt = time.Now()
		attempt.Recorder.Clock.Observe(recorder.Stamp(frame.GetClock()))
		attempt.applyLoad(attempt.replica, frame.GetLoad())
		attempt.Quarantiner.DecodeFindings(attempt.replica.Name, frame.GetFindings())

		attemptResult, err := attempt.handleFrame(ctx, frame)
		if attemptResult != nil || err != nil {
			return dereference(attemptResult), err
		}

		watchdog.Reset(attempt.Settings.Silence)
	}
}

func dereference(attemptResult *result) result {
	if attemptResult == nil {
		return result{}
	}

	return *attemptResult
}

// handleFrame handles one frame. It returns nil while the answer continues.
func (attempt *attempt) handleFrame(ctx context.Context, frame *messenger.Frame) (*result, error) {
	switch frame.GetKind() {
	case messenger.FrameKind_FRAME_KIND_ACCEPTED:
		attempt.incarnations.set(attempt.replica.Name, frame.GetIncarnation())

		return nil, nil
	case messenger.FrameKind_FRAME_KIND_PROGRESS:
		attempt.brokenConnections = 0

		return nil, nil
	case messenger.FrameKind_FRAME_KIND_DATA:
		attempt.brokenConnections = 0

		return attempt.handleData(ctx, frame)
	case messenger.FrameKind_FRAME_KIND_ENDED:
		return attempt.handleEnded(ctx, frame)
	case messenger.FrameKind_FRAME_KIND_REFUSED:
		return attempt.handleRefused(ctx, frame)
	default:
		return nil, errors.NotValidf("frame kind %v", frame.GetKind())
	}
}

// handleData delivers the frame's events, except for those delivered before.
func (attempt *attempt) handleData(ctx context.Context, frame *messenger.Frame) (*result, error) {
	if frame.GetOffset() > attempt.offset {
		return nil, errors.NotValidf("frame at offset %d after %d", frame.GetOffset(), attempt.offset)
	}

	for index, event := range frame.GetEvents() {
		if frame.GetOffset()+uint64(index) < attempt.offset {
			continue
		}

		if err := attempt.deliverEvent(event); err != nil {
			disconnected := attempt.callerLeft(ctx, err)

			return &disconnected, nil
		}

		attempt.offset++
		attempt.recordBegin()
	}

	if frame.GetComplete() {
		return attempt.completeAnswer(ctx, frame)
	}

	return nil, nil
}

func (attempt *attempt) deliverEvent(event []byte) error {
	if err := attempt.answer.begin(attempt.id); err != nil {
		return err
	}

	return attempt.answer.writeEvent(event)
}

func (attempt *attempt) handleEnded(ctx context.Context, frame *messenger.Frame) (*result, error) {
	if frame.GetOffset() != attempt.offset {
		return nil, errors.NotValidf("end at offset %d after %d", frame.GetOffset(), attempt.offset)
	}

	return attempt.completeAnswer(ctx, frame)
}

// completeAnswer ends the answer at the sink.
func (attempt *attempt) completeAnswer(ctx context.Context, frame *messenger.Frame) (*result, error) {
	if err := attempt.answer.begin(attempt.id); err != nil {
		disconnected := attempt.callerLeft(ctx, err)

		return &disconnected, nil
	}

	err := attempt.answer.sink.End(End{
		AttemptID:    attempt.id,
		FinishReason: frame.GetFinishReason(),
		Status:       int(frame.GetStatus()),
		MediaType:    frame.GetContentType(),
		PromptTokens: int(frame.GetPromptTokens()),
	})
	if err != nil {
		disconnected := attempt.callerLeft(ctx, err)

		return &disconnected, nil
	}

	attempt.recordEvent(recorder.KindAnswered, attempt.call.ID, "Replica="+attempt.replica.Name)

	return &result{Outcome: classifier.Outcome{Fate: classifier.Answered}, health: router.ResultAnswered}, nil
}

// handleRefused converts the sidecar's refusal to a result. If the sidecar does not
// know the request, it is revoked there, so that it can't run if it arrives later.
func (attempt *attempt) handleRefused(ctx context.Context, frame *messenger.Frame) (*result, error) {
	stale := frame.GetIncarnation() != attempt.incarnation
	attempt.incarnations.set(attempt.replica.Name, frame.GetIncarnation())

	retryAfter := time.Duration(frame.GetRetryAfterMicros()) * time.Microsecond
	if retryAfter == 0 {
		retryAfter = attempt.Settings.RetryAfter
	}

	retryAfter = retrier.AddJitter(retryAfter)

	switch frame.GetFate() {
	case messenger.Fate_FATE_NOT_RUN:
		draining := frame.GetLoad().GetDraining()
		health := router.ResultRefused

		if frame.GetUnreached() {
			health = router.ResultFailed
		}

		return &result{
			Outcome:          classifier.NewNotRun(frame.GetReason(), retryAfter),
			costFree:         draining || stale || frame.GetUnreached(),
			retrySameReplica: stale && !draining,
			health:           health,
		}, nil
	case messenger.Fate_FATE_UNKNOWN:
		revoked, err := attempt.revoke(ctx, false)
		if err != nil {
			return nil, err
		}

		return &revoked, nil
	default:
		attempt.recordServerEnd(frame.GetServerEnds())

		return &result{Outcome: classifier.NewMayHaveRun(frame.GetReason(), retryAfter), health: router.ResultFailed, serverEnded: frame.GetServerEnds() > 0}, nil
	}
}

// recordBegin records that the backend server has begun to answer. Attempts that read an
// earlier answer again have no run.
func (attempt *attempt) recordBegin() {
	if attempt.run != nil {
		attempt.run.Begin()
	}
}

// recordServerEnd records that the backend server ended before it began to answer; ends is
// the sidecar's count of that, or 0 if the server has not ended.
func (attempt *attempt) recordServerEnd(ends uint64) {
	if attempt.run != nil && ends > 0 {
		attempt.run.EndServer(int64(attempt.incarnation ^ ends))
	}
}
