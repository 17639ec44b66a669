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

// frameReader is the receiving side of both streaming calls.
type frameReader interface {
	Recv() (*messenger.Frame, error)
}

// opener starts one of the streaming calls.
type opener func(ctx context.Context, client messenger.DRPCSidecarClient) (frameReader, error)

// follow reads frames until the answer ends. An error means that the
// connection broke or went silent, and says nothing about the request.
func (attempt *attempt) follow(ctx context.Context, conn drpcpool.Conn, open opener) (result, error) {
	// The stream outlives the call by the moment in which the sidecar closes
	// it, so that the connection can be used again.
	reading, cancel := context.WithCancel(context.WithoutCancel(ctx))
	release := context.AfterFunc(ctx, cancel)

	defer release()

	watchdog := time.AfterFunc(attempt.Settings.FirstFrame, cancel)
	defer watchdog.Stop()

	stream, err := open(reading, messenger.NewDRPCSidecarClient(conn))
	if err != nil {
		cancel()
		conn.Close()

		return result{}, errors.Trace(err)
	}

	ended, err := attempt.read(ctx, stream, watchdog)
	if err != nil {
		silent := reading.Err() != nil

		cancel()
		conn.Close()

		if silent {
			err = errors.Timeoutf("frame from %s", attempt.replica.Name)
		}

		return result{}, err
	}

	go attempt.finishStream(stream, conn, cancel)

	return ended, nil
}

// finishStream waits until the sidecar has closed the stream and gives the
// connection back. The stream's context is cancelled only if that takes too
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

	attempt.Dialer.Give(attempt.replica.Address, conn)
}

// read takes frames until one ends the answer. The watchdog runs only while a
// frame is awaited, since a slow caller is no fault of the connection.
func (attempt *attempt) read(ctx context.Context, stream frameReader, watchdog *time.Timer) (result, error) {
	for {
		frame, err := stream.Recv()
		if err != nil {
			return result{}, errors.Trace(err)
		}

		watchdog.Stop()
		attempt.Recorder.Clock.Observe(recorder.Stamp(frame.GetClock()))
		attempt.report(attempt.replica, frame.GetLoad())

		ended, err := attempt.take(ctx, frame)
		if ended != nil || err != nil {
			return dereference(ended), err
		}

		watchdog.Reset(attempt.Settings.Silence)
	}
}

func dereference(ended *result) result {
	if ended == nil {
		return result{}
	}

	return *ended
}

// take handles one frame. It returns nil while the answer goes on.
func (attempt *attempt) take(ctx context.Context, frame *messenger.Frame) (*result, error) {
	switch frame.GetKind() {
	case messenger.FrameKind_FRAME_KIND_ACCEPTED:
		attempt.numbers.set(attempt.replica.Name, frame.GetIncarnation())

		return nil, nil
	case messenger.FrameKind_FRAME_KIND_PROGRESS:
		attempt.broken = 0

		return nil, nil
	case messenger.FrameKind_FRAME_KIND_DATA:
		attempt.broken = 0

		return attempt.deliver(ctx, frame)
	case messenger.FrameKind_FRAME_KIND_ENDED:
		return attempt.finish(ctx, frame)
	case messenger.FrameKind_FRAME_KIND_REFUSED:
		return attempt.refused(ctx, frame)
	default:
		return nil, errors.NotValidf("frame kind %v", frame.GetKind())
	}
}

// deliver passes on the events that were not delivered yet.
func (attempt *attempt) deliver(ctx context.Context, frame *messenger.Frame) (*result, error) {
	if frame.GetOffset() > attempt.offset {
		return nil, errors.NotValidf("frame at offset %d after %d", frame.GetOffset(), attempt.offset)
	}

	for index, event := range frame.GetEvents() {
		if frame.GetOffset()+uint64(index) < attempt.offset {
			continue
		}

		if err := attempt.hand(event); err != nil {
			left := attempt.leave(ctx, err)

			return &left, nil
		}

		attempt.offset++
	}

	if frame.GetComplete() {
		return attempt.end(ctx, frame)
	}

	return nil, nil
}

func (attempt *attempt) hand(event []byte) error {
	if err := attempt.answer.begin(attempt.id); err != nil {
		return err
	}

	return attempt.answer.event(event)
}

func (attempt *attempt) finish(ctx context.Context, frame *messenger.Frame) (*result, error) {
	if frame.GetOffset() != attempt.offset {
		return nil, errors.NotValidf("end at offset %d after %d", frame.GetOffset(), attempt.offset)
	}

	return attempt.end(ctx, frame)
}

// end tells the caller that the answer is whole.
func (attempt *attempt) end(ctx context.Context, frame *messenger.Frame) (*result, error) {
	if err := attempt.answer.begin(attempt.id); err != nil {
		left := attempt.leave(ctx, err)

		return &left, nil
	}

	err := attempt.answer.sink.End(End{
		AttemptID:    attempt.id,
		FinishReason: frame.GetFinishReason(),
		Status:       int(frame.GetStatus()),
		MediaType:    frame.GetContentType(),
		PromptTokens: int(frame.GetPromptTokens()),
	})
	if err != nil {
		left := attempt.leave(ctx, err)

		return &left, nil
	}

	attempt.event(recorder.KindAnswered, attempt.call.ID, "Replica="+attempt.replica.Name)

	return &result{Outcome: classifier.Outcome{Fate: classifier.Answered}, health: router.ResultAnswered}, nil
}

// refused turns the sidecar's refusal into a result. A sidecar that does not
// know the request is asked to revoke it, so that it cannot arrive later.
func (attempt *attempt) refused(ctx context.Context, frame *messenger.Frame) (*result, error) {
	stale := frame.GetIncarnation() != attempt.number
	attempt.numbers.set(attempt.replica.Name, frame.GetIncarnation())

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
			Outcome: classifier.NewNotRun(frame.GetReason(), retryAfter),
			free:    draining || stale || frame.GetUnreached(),
			repeat:  stale && !draining,
			health:  health,
		}, nil
	case messenger.Fate_FATE_UNKNOWN:
		settled, err := attempt.revoke(ctx, false)
		if err != nil {
			return nil, err
		}

		return &settled, nil
	default:
		return &result{Outcome: classifier.NewMayHaveRun(frame.GetReason(), retryAfter), health: router.ResultFailed}, nil
	}
}
