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

// attempt is one request at one replica. Its request is sent once; whatever
// happens to the connection, it is followed or revoked, never sent again.
type attempt struct {
	*Dispatcher

	call    Call
	replica router.Replica
	id      string
	// fresh asks for a connection that was never used.
	fresh bool
	// number is what the sidecar expects of a new request.
	number uint64
	answer *answer
	// offset is the number of this attempt's events that were delivered.
	// Events that earlier attempts delivered are not among them.
	offset uint64
	// broken counts the connections that broke since the last frame of a
	// running request.
	broken int
}

// run sends the request and follows its answer to the end.
func (attempt *attempt) run(ctx context.Context) result {
	conn, err := attempt.connect(ctx)
	if err != nil {
		return result{
			Outcome: attempt.refuse("replica " + attempt.replica.Name + " takes no connection"),
			free:    true,
			health:  router.ResultFailed,
		}
	}

	if err := attempt.permit(ctx); err != nil {
		conn.Close()

		return result{Outcome: attempt.refuse("no leave to run: " + err.Error()), final: true, health: router.ResultRefused}
	}

	attempt.event(recorder.KindRouted, attempt.call.ID, "Replica="+attempt.replica.Name, "Incarnation="+formatUint(attempt.number))

	ended, err := attempt.follow(ctx, conn, attempt.execute)

	for err != nil {
		if ctx.Err() != nil {
			return attempt.abandon(ctx)
		}

		attempt.broken++
		attempt.event(recorder.KindResumed, attempt.call.ID, "Replica="+attempt.replica.Name, "Cause="+err.Error())

		if attempt.broken > attempt.Settings.Reconnects {
			attempt.numbers.set(attempt.replica.Name, 0)

			return attempt.lose("replica " + attempt.replica.Name + " vanished: " + err.Error())
		}

		attempt.pause(ctx)
		ended, err = attempt.resume(ctx)
	}

	return ended
}

// connect returns a connection to the sidecar, whose number is then known. A
// call that may not be repeated goes over a new connection, so that a refused
// one tells for certain that nothing left.
func (attempt *attempt) connect(ctx context.Context) (drpcpool.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, attempt.Settings.FirstFrame)
	defer cancel()

	attempt.number = attempt.numbers.get(attempt.replica.Name)
	if attempt.number != 0 && attempt.call.Idempotent && !attempt.fresh {
		return attempt.Dialer.Take(ctx, attempt.replica.Address)
	}

	conn, err := attempt.Dialer.Fresh(ctx, attempt.replica.Address)
	if err != nil || attempt.number != 0 {
		return conn, errors.Trace(err)
	}

	reply, err := messenger.NewDRPCSidecarClient(conn).Hello(ctx, &messenger.HelloRequest{Clock: attempt.now()})
	if err != nil {
		conn.Close()

		return nil, errors.Trace(err)
	}

	attempt.learn(reply.GetIncarnation())
	attempt.report(attempt.replica, reply.GetLoad())

	return conn, nil
}

// permit asks whoever shares the right to run the call.
func (attempt *attempt) permit(ctx context.Context) error {
	if attempt.call.Permit == nil {
		return nil
	}

	return attempt.call.Permit(ctx, Target{Replica: attempt.replica, AttemptID: attempt.id, Incarnation: attempt.number})
}

func (attempt *attempt) execute(ctx context.Context, client messenger.DRPCSidecarClient) (frameReader, error) {
	return client.Execute(ctx, &messenger.ExecuteRequest{
		Clock:           attempt.now(),
		RequestId:       attempt.id,
		Incarnation:     attempt.number,
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
	})
}

// resume takes up the answer on a new connection; the old one may be dead
// without either end noticing.
func (attempt *attempt) resume(ctx context.Context) (result, error) {
	dialing, cancel := context.WithTimeout(ctx, attempt.Settings.FirstFrame)
	defer cancel()

	conn, err := attempt.Dialer.Fresh(dialing, attempt.replica.Address)
	if err != nil {
		return result{}, errors.Trace(err)
	}

	return attempt.follow(ctx, conn, func(ctx context.Context, client messenger.DRPCSidecarClient) (frameReader, error) {
		return client.Resume(ctx, &messenger.ResumeRequest{
			Clock:     attempt.now(),
			RequestId: attempt.id,
			Offset:    attempt.offset,
		})
	})
}

// revoke settles the fate of the request on a new connection. An error means
// that nothing is settled: no reply came, or the request is there after all
// and can be followed.
func (attempt *attempt) revoke(ctx context.Context, cancel bool) (result, error) {
	ctx, stop := context.WithTimeout(ctx, attempt.Settings.FirstFrame)
	defer stop()

	conn, err := attempt.Dialer.Fresh(ctx, attempt.replica.Address)
	if err != nil {
		return result{}, errors.Trace(err)
	}
	defer conn.Close()

	reply, err := messenger.NewDRPCSidecarClient(conn).Revoke(ctx, &messenger.RevokeRequest{
		Clock:       attempt.now(),
		RequestId:   attempt.id,
		Incarnation: attempt.number,
		Cancel:      cancel,
	})
	if err != nil {
		return result{}, errors.Trace(err)
	}

	attempt.numbers.set(attempt.replica.Name, reply.GetIncarnation())
	attempt.event(recorder.KindRevoked, attempt.call.ID, "Replica="+attempt.replica.Name, "Fate="+reply.GetFate().String())

	switch reply.GetFate() {
	case messenger.Fate_FATE_NOT_RUN:
		return result{Outcome: attempt.refuse("revoked before it started"), free: true, repeat: true, health: router.ResultRefused}, nil
	case messenger.Fate_FATE_RUNNING, messenger.Fate_FATE_ANSWERED:
		return result{}, errors.AlreadyExistsf("the request at %s", attempt.replica.Name)
	case messenger.Fate_FATE_MAY_HAVE_RUN:
		return attempt.lose("replica " + attempt.replica.Name + " gave no whole answer"), nil
	default:
		return attempt.lose("replica " + attempt.replica.Name + " restarted"), nil
	}
}

// lose ends a request whose answer is lost with its replica.
func (attempt *attempt) lose(reason string) result {
	return result{Outcome: classifier.NewMayHaveRun(reason, attempt.comeBack()), health: router.ResultFailed}
}

// abandon ends a request whose deadline has passed or whose caller has left.
// Neither is the replica's fault while its sidecar answers.
func (attempt *attempt) abandon(ctx context.Context) result {
	reason := "no whole answer in time"
	if errors.Is(ctx.Err(), context.Canceled) {
		reason = "the caller left"
	}

	settled, err := attempt.revoke(context.WithoutCancel(ctx), attempt.call.Idempotent)
	if err != nil {
		settled = attempt.lose(reason)
	}

	if errors.Is(err, errors.AlreadyExists) {
		settled.health = router.ResultRefused
	}

	settled.final = true

	return settled
}

// leave ends a request whose caller takes no more of the answer. An idempotent
// one is cancelled, others run to their end.
func (attempt *attempt) leave(ctx context.Context, err error) result {
	if attempt.call.Idempotent {
		_, _ = attempt.revoke(context.WithoutCancel(ctx), true)
	}

	return result{Outcome: classifier.NewMayHaveRun("the caller left: "+err.Error(), 0), final: true, health: router.ResultRefused}
}

// learn takes in a number that the sidecar sent, for this attempt too.
func (attempt *attempt) learn(number uint64) {
	attempt.number = number
	attempt.numbers.set(attempt.replica.Name, number)
}

func (attempt *attempt) refuse(reason string) classifier.Outcome {
	return classifier.NewNotRun(reason, attempt.comeBack())
}

// comeBack is the time to come back where the sidecar gave none.
func (attempt *attempt) comeBack() time.Duration {
	return retrier.AddJitter(attempt.Settings.RetryAfter)
}

func (attempt *attempt) pause(ctx context.Context) {
	backoff := retrier.Backoff{Base: attempt.Settings.ReconnectPause, MaxPause: attempt.Settings.FirstFrame}

	select {
	case <-time.After(backoff.Pause(attempt.broken - 1)):
	case <-ctx.Done():
	}
}
