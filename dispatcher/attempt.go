package dispatcher

import (
	"context"
	"time"

	"github.com/juju/errors"
	"storj.io/drpc"

	"limpetrail/classifier"
	"limpetrail/messenger"
	"limpetrail/recorder"
	"limpetrail/router"
)

// attempt is one request at one replica. Its request is sent once; whatever
// happens to the connection, it is followed or revoked, never sent again.
type attempt struct {
	*Dispatcher

	call        Call
	replica     router.Replica
	id          string
	incarnation uint64
	answer      *answer
	// base is the number of events that earlier attempts delivered; this
	// attempt's offsets count from there.
	base uint64
	// offset is the number of this attempt's events that were delivered.
	offset uint64
}

// frameReader is the receiving side of both streaming calls.
type frameReader interface {
	Recv() (*messenger.Frame, error)
}

func (dispatcher *Dispatcher) attempt(ctx context.Context, call Call, replica router.Replica, answer *answer) classifier.Outcome {
	id := AttemptID(call.ID, replica.Name)

	incarnation, err := dispatcher.incarnation(ctx, replica)
	if err != nil {
		return classifier.Refuse("replica "+replica.Name+" does not answer", dispatcher.Settings.RetryAfter)
	}

	dispatcher.event(recorder.KindRouted, call.ID, "Replica="+replica.Name, "Incarnation="+formatUint(incarnation))

	attempt := &attempt{
		Dispatcher:  dispatcher,
		call:        call,
		replica:     replica,
		id:          id,
		incarnation: incarnation,
		answer:      answer,
		base:        uint64(len(answer.events)),
	}

	return attempt.run(ctx)
}

// run sends the request and follows its answer to the end.
func (attempt *attempt) run(ctx context.Context) classifier.Outcome {
	conn := attempt.Dialer.Pooled(ctx, attempt.replica.Address)

	outcome, err := attempt.follow(ctx, conn, func(ctx context.Context, client messenger.DRPCSidecarClient) (frameReader, error) {
		return client.Execute(ctx, attempt.request())
	})
	_ = conn.Close()

	for reconnects := 0; err != nil; reconnects++ {
		if ctx.Err() != nil {
			return attempt.abandon(ctx)
		}

		attempt.event(recorder.KindResumed, attempt.call.ID, "Replica="+attempt.replica.Name, "Cause="+err.Error())

		if reconnects == attempt.Settings.Reconnects {
			attempt.forget()

			return classifier.Lose("replica "+attempt.replica.Name+" vanished: "+err.Error(), attempt.Settings.RetryAfter)
		}

		attempt.pause(ctx, reconnects)
		outcome, err = attempt.resume(ctx)
	}

	return outcome
}

func (attempt *attempt) request() *messenger.ExecuteRequest {
	return &messenger.ExecuteRequest{
		Clock:           attempt.now(),
		RequestId:       attempt.id,
		Incarnation:     attempt.incarnation,
		Class:           attempt.call.Class,
		Firm:            attempt.call.Firm,
		Workspace:       attempt.call.Workspace,
		Service:         attempt.call.Service,
		Adapter:         attempt.call.Adapter,
		Path:            attempt.call.Path,
		Body:            attempt.call.Body,
		ContentType:     attempt.call.MediaType,
		Idempotent:      attempt.call.Idempotent,
		Plain:           attempt.call.Plain,
		RemainingMicros: uint64(max(0, time.Until(attempt.call.Deadline)).Microseconds()),
		Prefix:          attempt.answer.events,
	}
}

// resume takes up the answer on a new connection; the old one may be dead
// without either end noticing.
func (attempt *attempt) resume(ctx context.Context) (classifier.Outcome, error) {
	conn, err := attempt.Dialer.Fresh(ctx, attempt.replica.Address)
	if err != nil {
		return classifier.Outcome{}, errors.Trace(err)
	}
	defer conn.Close()

	return attempt.follow(ctx, conn, func(ctx context.Context, client messenger.DRPCSidecarClient) (frameReader, error) {
		return client.Resume(ctx, &messenger.ResumeRequest{
			Clock:     attempt.now(),
			RequestId: attempt.id,
			Offset:    attempt.offset,
		})
	})
}

// follow reads frames until the answer ends. An error means that the
// connection broke or went silent, and says nothing about the request.
func (attempt *attempt) follow(ctx context.Context, conn drpc.Conn, open func(context.Context, messenger.DRPCSidecarClient) (frameReader, error)) (classifier.Outcome, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)

	watchdog := time.AfterFunc(attempt.Settings.FirstFrame, func() {
		cancel(errors.Timeoutf("frame from %s", attempt.replica.Name))
	})
	defer watchdog.Stop()

	stream, err := open(ctx, messenger.NewDRPCSidecarClient(conn))
	if err != nil {
		return classifier.Outcome{}, errors.Trace(err)
	}

	for {
		frame, err := stream.Recv()
		if err != nil {
			return classifier.Outcome{}, errors.Trace(err)
		}

		watchdog.Reset(attempt.Settings.Silence)
		attempt.Recorder.Clock.Observe(recorderStamp(frame))
		attempt.report(attempt.replica, frame.GetLoad())

		outcome, ended, err := attempt.take(ctx, frame)
		if ended || err != nil {
			return outcome, err
		}
	}
}

// take handles one frame.
func (attempt *attempt) take(ctx context.Context, frame *messenger.Frame) (classifier.Outcome, bool, error) {
	switch frame.GetKind() {
	case messenger.FrameKind_FRAME_KIND_ACCEPTED, messenger.FrameKind_FRAME_KIND_PROGRESS:
		return classifier.Outcome{}, false, nil
	case messenger.FrameKind_FRAME_KIND_DATA:
		return attempt.deliver(ctx, frame)
	case messenger.FrameKind_FRAME_KIND_ENDED:
		return attempt.finish(ctx, frame)
	case messenger.FrameKind_FRAME_KIND_REFUSED:
		return attempt.refused(ctx, frame)
	default:
		return classifier.Outcome{}, false, errors.NotValidf("frame kind %v", frame.GetKind())
	}
}

// deliver passes on the events that were not delivered yet.
func (attempt *attempt) deliver(ctx context.Context, frame *messenger.Frame) (classifier.Outcome, bool, error) {
	if frame.GetOffset() > attempt.offset {
		return classifier.Outcome{}, false, errors.NotValidf("frame at offset %d after %d", frame.GetOffset(), attempt.offset)
	}

	for index, event := range frame.GetEvents() {
		if frame.GetOffset()+uint64(index) < attempt.offset {
			continue
		}

		if err := attempt.hand(event); err != nil {
			return attempt.leave(ctx, err), true, nil
		}

		attempt.offset++
		attempt.answer.events = append(attempt.answer.events, event)
	}

	return classifier.Outcome{}, false, nil
}

func (attempt *attempt) hand(event []byte) error {
	if err := attempt.answer.begin(attempt.id); err != nil {
		return err
	}

	return attempt.answer.sink.Event(event)
}

func (attempt *attempt) finish(ctx context.Context, frame *messenger.Frame) (classifier.Outcome, bool, error) {
	if frame.GetOffset() != attempt.offset {
		return classifier.Outcome{}, false, errors.NotValidf("end at offset %d after %d", frame.GetOffset(), attempt.offset)
	}

	if err := attempt.answer.begin(attempt.id); err != nil {
		return attempt.leave(ctx, err), true, nil
	}

	err := attempt.answer.sink.End(End{
		FinishReason: frame.GetFinishReason(),
		Status:       int(frame.GetStatus()),
		MediaType:    frame.GetContentType(),
		PromptTokens: int(frame.GetPromptTokens()),
	})
	if err != nil {
		return attempt.leave(ctx, err), true, nil
	}

	attempt.event(recorder.KindAnswered, attempt.call.ID, "Replica="+attempt.replica.Name)

	return classifier.Outcome{Fate: classifier.Answered}, true, nil
}

// refused turns the sidecar's refusal into an outcome. A sidecar that does not
// know the request is asked to revoke it, so that it cannot arrive later.
func (attempt *attempt) refused(ctx context.Context, frame *messenger.Frame) (classifier.Outcome, bool, error) {
	retryAfter := time.Duration(frame.GetRetryAfterMicros()) * time.Microsecond

	switch frame.GetFate() {
	case messenger.Fate_FATE_NOT_RUN:
		attempt.forget()

		return classifier.Refuse(frame.GetReason(), retryAfter), true, nil
	case messenger.Fate_FATE_UNKNOWN:
		return attempt.revoke(ctx, false)
	default:
		return classifier.Lose(frame.GetReason(), retryAfter), true, nil
	}
}

// revoke settles the fate of a request on a new connection. An error means
// that the request is there after all and can be followed.
func (attempt *attempt) revoke(ctx context.Context, cancel bool) (classifier.Outcome, bool, error) {
	ctx, stop := context.WithTimeout(ctx, attempt.Settings.FirstFrame)
	defer stop()

	conn, err := attempt.Dialer.Fresh(ctx, attempt.replica.Address)
	if err != nil {
		return classifier.Outcome{}, false, errors.Trace(err)
	}
	defer conn.Close()

	reply, err := messenger.NewDRPCSidecarClient(conn).Revoke(ctx, &messenger.RevokeRequest{
		Clock:       attempt.now(),
		RequestId:   attempt.id,
		Incarnation: attempt.incarnation,
		Cancel:      cancel,
	})
	if err != nil {
		return classifier.Outcome{}, false, errors.Trace(err)
	}

	switch reply.GetFate() {
	case messenger.Fate_FATE_NOT_RUN:
		return classifier.Refuse("revoked before it started", attempt.Settings.RetryAfter), true, nil
	case messenger.Fate_FATE_RUNNING, messenger.Fate_FATE_ANSWERED:
		return classifier.Outcome{}, false, errors.Errorf("the request is at %s after all", attempt.replica.Name)
	default:
		attempt.forget()

		return classifier.Lose("replica "+attempt.replica.Name+" restarted", attempt.Settings.RetryAfter), true, nil
	}
}

// abandon ends a request whose deadline has passed or whose caller has left.
func (attempt *attempt) abandon(ctx context.Context) classifier.Outcome {
	outcome, settled, err := attempt.revoke(context.WithoutCancel(ctx), attempt.call.Idempotent)
	if err != nil || !settled {
		return classifier.Lose("no whole answer in time", attempt.Settings.RetryAfter)
	}

	return outcome
}

// leave ends a request whose caller is gone. An idempotent one is cancelled,
// others run to their end.
func (attempt *attempt) leave(ctx context.Context, err error) classifier.Outcome {
	if attempt.call.Idempotent {
		_, _, _ = attempt.revoke(context.WithoutCancel(ctx), true)
	}

	return classifier.Lose("the caller left: "+err.Error(), 0)
}

// forget drops what is known of the sidecar's start; the next attempt asks.
func (attempt *attempt) forget() {
	attempt.setIncarnation(attempt.replica, 0)
}

func (attempt *attempt) pause(ctx context.Context, reconnects int) {
	select {
	case <-time.After(attempt.Settings.ReconnectPause << reconnects):
	case <-ctx.Done():
	}
}
