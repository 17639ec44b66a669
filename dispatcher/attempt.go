package dispatcher

import (
	"context"
	"time"

	"github.com/juju/errors"
	"storj.io/drpc/drpcpool"

	"limpetrail/classifier"
	"limpetrail/messenger"
	"limpetrail/quarantiner"
	"limpetrail/recorder"
	"limpetrail/retrier"
	"limpetrail/router"
)

// attempt is one request at one replica. The request is sent once. If the
// connection breaks, its answer is resumed or the request is revoked; it is
// never sent again.
type attempt struct {
	*Dispatcher

	call    Call
	replica router.Replica
	id      string
	// newConnection demands a connection that was not used before.
	newConnection bool
	// incarnation is the sidecar's incarnation, which each new request carries and
	// the sidecar checks.
	incarnation uint64
	answer      *answerWriter
	// run is the attempt as the quarantiner sees it.
	run *quarantiner.Run
	// offset is the number of delivered events of this attempt, without those
	// of earlier attempts.
	offset uint64
	// brokenConnections counts the connections that broke since the last frame
	// that showed progress.
	brokenConnections int
	// heardAt is when the request was sent, or when the last frame arrived.
	heardAt time.Time
}

// send sends the request and reads its answer to the end.
func (attempt *attempt) send(ctx context.Context) result {
	conn, err := attempt.connect(ctx)
	if err != nil {
		return result{
			Outcome:  attempt.notRunOutcome("replica " + attempt.replica.Name + " takes no connection"),
			costFree: true,
			health:   router.ResultFailed,
		}
	}

	if err := attempt.checkPermit(ctx); err != nil {
		conn.Close()

		return result{Outcome: attempt.notRunOutcome("no leave to run: " + err.Error()), final: true, health: router.ResultRefused}
	}

	attempt.recordEvent(recorder.KindRouted, attempt.call.ID, "Replica="+attempt.replica.Name, "Incarnation="+formatUint(attempt.incarnation))

	attempt.heardAt = time.Now()
	attemptResult, err := attempt.followAnswer(ctx, conn, attempt.execute)

	for err != nil {
		if ctx.Err() != nil {
			return attempt.abandon(ctx)
		}

		attempt.brokenConnections++
		attempt.recordEvent(recorder.KindResumed, attempt.call.ID, "Replica="+attempt.replica.Name, "Cause="+err.Error())

		if attempt.isLost(err) {
			attempt.incarnations.set(attempt.replica.Name, 0)

			return attempt.lostResult("replica " + attempt.replica.Name + " vanished: " + err.Error())
		}

		attempt.waitBeforeReconnect(ctx)
		attemptResult, err = attempt.resume(ctx)
	}

	return attemptResult
}

// isLost reports whether the replica has vanished, as far as a broken connection shows. One that is
// only silent has the time of Silence.
func (attempt *attempt) isLost(err error) bool {
	isSilent := errors.Is(err, errors.Timeout) && time.Since(attempt.heardAt) < attempt.Settings.Silence

	return attempt.brokenConnections > attempt.Settings.Reconnects && !isSilent
}

// connect returns a connection to the sidecar and determines the sidecar's
// incarnation. A call that may not be repeated uses a new connection: if it
// can't be opened, certainly nothing was sent.
func (attempt *attempt) connect(ctx context.Context) (drpcpool.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, attempt.Settings.FirstFrame)
	defer cancel()

	attempt.incarnation = attempt.incarnations.get(attempt.replica.Name)
	if attempt.incarnation != 0 && attempt.call.Idempotent && !attempt.newConnection {
		return attempt.Dialer.Get(ctx, attempt.replica.Address)
	}

	conn, err := attempt.Dialer.Dial(ctx, attempt.replica.Address)
	if err != nil || attempt.incarnation != 0 {
		return conn, errors.Trace(err)
	}

	reply, err := messenger.NewDRPCSidecarClient(conn).Hello(ctx, &messenger.HelloRequest{Clock: attempt.clockStamp()})
	if err != nil {
		conn.Close()

		return nil, errors.Trace(err)
	}

	attempt.setIncarnation(reply.GetIncarnation())
	attempt.applyLoad(attempt.replica, reply.GetLoad())

	return conn, nil
}

// checkPermit calls the call's Permit function, if any.
func (attempt *attempt) checkPermit(ctx context.Context) error {
	if attempt.call.Permit == nil {
		return nil
	}

	return attempt.call.Permit(ctx, Target{Replica: attempt.replica, AttemptID: attempt.id, Incarnation: attempt.incarnation})
}

func (attempt *attempt) execute(ctx context.Context, client messenger.DRPCSidecarClient) (frameReader, error) {
	return client.Execute(ctx, &messenger.ExecuteRequest{
		Clock:           attempt.clockStamp(),
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
		Findings:        attempt.Quarantiner.EncodeFindings(),
	})
}

// resume continues reading the answer on a new connection, since the old one may
// be dead without either end noticing.
func (attempt *attempt) resume(ctx context.Context) (result, error) {
	dialCtx, cancel := context.WithTimeout(ctx, attempt.Settings.FirstFrame)
	defer cancel()

	conn, err := attempt.Dialer.Dial(dialCtx, attempt.replica.Address)
	if err != nil {
		return result{}, errors.Trace(err)
	}

	return attempt.followAnswer(ctx, conn, func(ctx context.Context, client messenger.DRPCSidecarClient) (frameReader, error) {
		return client.Resume(ctx, &messenger.ResumeRequest{
			Clock:     attempt.clockStamp(),
			RequestId: attempt.id,
			Offset:    attempt.offset,
		})
	})
}

// revoke asks the sidecar on a new connection to drop the request if it has not
// started, and with cancel set to stop it if it has. It returns the request's fate
// as a result. An error means that the fate is not known yet: no reply arrived, or the
// sidecar has the request and its answer can be resumed.
func (attempt *attempt) revoke(ctx context.Context, cancel bool) (result, error) {
	ctx, stop := context.WithTimeout(ctx, attempt.Settings.FirstFrame)
	defer stop()

	conn, err := attempt.Dialer.Dial(ctx, attempt.replica.Address)
	if err != nil {
		return result{}, errors.Trace(err)
	}
	defer conn.Close()

	reply, err := messenger.NewDRPCSidecarClient(conn).Revoke(ctx, &messenger.RevokeRequest{
		Clock:       attempt.clockStamp(),
		RequestId:   attempt.id,
		Incarnation: attempt.incarnation,
		Cancel:      cancel,
	})
	if err != nil {
		return result{}, errors.Trace(err)
	}

	attempt.incarnations.set(attempt.replica.Name, reply.GetIncarnation())
	attempt.recordEvent(recorder.KindRevoked, attempt.call.ID, "Replica="+attempt.replica.Name, "Fate="+reply.GetFate().String())

	switch reply.GetFate() {
	case messenger.Fate_FATE_NOT_RUN:
		return result{Outcome: attempt.notRunOutcome("revoked before it started"), costFree: true, retrySameReplica: true, health: router.ResultRefused}, nil
	case messenger.Fate_FATE_RUNNING, messenger.Fate_FATE_ANSWERED:
		return result{}, errors.AlreadyExistsf("the request at %s", attempt.replica.Name)
	case messenger.Fate_FATE_MAY_HAVE_RUN:
		return attempt.lostResult("replica " + attempt.replica.Name + " gave no whole answer"), nil
	default:
		return attempt.lostResult("replica " + attempt.replica.Name + " restarted"), nil
	}
}

// lostResult returns the result of an attempt whose answer was lost.
func (attempt *attempt) lostResult(reason string) result {
	return result{Outcome: classifier.NewMayHaveRun(reason, attempt.retryAfter()), health: router.ResultFailed}
}

// abandon ends an attempt whose deadline has passed or whose caller has
// disconnected. Neither counts as a failure of the replica while its sidecar
// answers.
func (attempt *attempt) abandon(ctx context.Context) result {
	reason := "no whole answer in time"
	if errors.Is(ctx.Err(), context.Canceled) {
		reason = "the caller left"
	}

	revoked, err := attempt.revoke(context.WithoutCancel(ctx), attempt.call.Idempotent)
	if err != nil {
		revoked = attempt.lostResult(reason)
	}

	if errors.Is(err, errors.AlreadyExists) {
		revoked.health = router.ResultRefused
	}

	revoked.final = true

	return revoked
}

// callerLeft ends an attempt whose caller has disconnected. An idempotent
// request is cancelled, any other runs to its end.
func (attempt *attempt) callerLeft(ctx context.Context, err error) result {
	if attempt.call.Idempotent {
		_, _ = attempt.revoke(context.WithoutCancel(ctx), true)
	}

	return result{Outcome: classifier.NewMayHaveRun("the caller left: "+err.Error(), 0), final: true, health: router.ResultRefused}
}

// setIncarnation stores the sidecar's incarnation for this attempt and later ones.
func (attempt *attempt) setIncarnation(incarnation uint64) {
	attempt.incarnation = incarnation
	attempt.incarnations.set(attempt.replica.Name, incarnation)
}

func (attempt *attempt) notRunOutcome(reason string) classifier.Outcome {
	return classifier.NewNotRun(reason, attempt.retryAfter())
}

// retryAfter is the jittered delay for the caller where the sidecar gave none.
func (attempt *attempt) retryAfter() time.Duration {
	return retrier.AddJitter(attempt.Settings.RetryAfter)
}

func (attempt *attempt) waitBeforeReconnect(ctx context.Context) {
	backoff := retrier.Backoff{Base: attempt.Settings.ReconnectPause, MaxPause: attempt.Settings.FirstFrame}

	select {
	case <-time.After(backoff.Pause(attempt.brokenConnections - 1)):
	case <-ctx.Done():
	}
}
