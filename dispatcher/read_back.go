package dispatcher

import (
	"context"

	"storj.io/drpc"

	"limpetrail/classifier"
	"limpetrail/messenger"
	"limpetrail/recorder"
	"limpetrail/router"
)

// Target is one start of one replica. A request meant for it runs there or
// nowhere.
type Target struct {
	Replica     router.Replica
	Incarnation uint64
}

// Aim chooses a target for a call that names its target before it is sent. It
// returns false when no replica that answers is left.
func (dispatcher *Dispatcher) Aim(ctx context.Context, call Call, exclude []string) (Target, bool) {
	for range dispatcher.Settings.Attempts {
		replica, found := dispatcher.Router.Pick(router.Question{
			Service:    call.Service,
			PrefixKeys: call.PrefixKeys,
			Exclude:    exclude,
		})
		if !found {
			return Target{}, false
		}

		incarnation, err := dispatcher.incarnation(ctx, replica)
		if err == nil {
			return Target{Replica: replica, Incarnation: incarnation}, true
		}

		dispatcher.Router.Observe(replica.Name, router.ResultFailed)
		exclude = append(exclude[:len(exclude):len(exclude)], replica.Name)
	}

	return Target{}, false
}

// DoAt sends the call once, to the target and nowhere else.
func (dispatcher *Dispatcher) DoAt(ctx context.Context, call Call, target Target, sink Sink) classifier.Outcome {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()

	dispatcher.event(recorder.KindRouted, call.ID, "Replica="+target.Replica.Name, "Incarnation="+formatUint(target.Incarnation))

	attempt := &attempt{
		Dispatcher:  dispatcher,
		call:        call,
		replica:     target.Replica,
		id:          AttemptID(call.ID, target.Replica.Name),
		incarnation: target.Incarnation,
		answer:      &answer{sink: sink},
	}
	outcome := attempt.run(ctx)
	dispatcher.observe(target.Replica, outcome)

	return outcome
}

// ReadBack is an attempt whose answer is read again.
type ReadBack struct {
	// AttemptID is the one that Begin told.
	AttemptID string
	// Incarnation is the start of the sidecar that the attempt was meant for.
	// With it, an attempt that the sidecar does not know is revoked there, so
	// that it never runs. Zero leaves such an attempt alone.
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
		return Reading{Outcome: classifier.Lose("the replica that took the request is not listed", dispatcher.Settings.RetryAfter)}
	}

	attempt := &attempt{
		Dispatcher:  dispatcher,
		call:        Call{ID: requestID},
		replica:     replica,
		id:          wanted.AttemptID,
		incarnation: wanted.Incarnation,
		answer:      &answer{sink: sink},
		offset:      wanted.Offset,
	}
	reading := Reading{}

	for reconnects := 0; ; reconnects++ {
		outcome, err := attempt.readOn(ctx, &reading)
		if err == nil {
			reading.Outcome = outcome

			return reading
		}

		if ctx.Err() != nil || reconnects == attempt.Settings.Reconnects {
			reading.Outcome = classifier.Lose("no whole answer from replica "+name+": "+err.Error(), attempt.Settings.RetryAfter)

			return reading
		}

		attempt.pause(ctx, reconnects)
	}
}

// readOn follows the answer over one new connection.
func (attempt *attempt) readOn(ctx context.Context, reading *Reading) (classifier.Outcome, error) {
	conn, err := attempt.Dialer.Fresh(ctx, attempt.replica.Address)
	if err != nil {
		return classifier.Outcome{}, err
	}
	defer conn.Close()

	return attempt.follow(ctx, drpc.Conn(conn), func(ctx context.Context, client messenger.DRPCSidecarClient) (frameReader, error) {
		stream, err := client.Resume(ctx, &messenger.ResumeRequest{
			Clock:     attempt.now(),
			RequestId: attempt.id,
			Offset:    attempt.offset,
		})

		return &readingStream{frameReader: stream, reading: reading, mayRevoke: attempt.incarnation != 0}, err
	})
}

// readingStream notes what the frames say of the attempt.
type readingStream struct {
	frameReader
	reading   *Reading
	mayRevoke bool
}

// Recv implements frameReader.
func (stream *readingStream) Recv() (*messenger.Frame, error) {
	frame, err := stream.frameReader.Recv()
	if err != nil {
		return frame, err
	}

	refused := frame.GetKind() == messenger.FrameKind_FRAME_KIND_REFUSED
	unknown := refused && frame.GetFate() == messenger.Fate_FATE_UNKNOWN
	stream.reading.Reached = true
	stream.reading.Known = !unknown

	if unknown && !stream.mayRevoke {
		frame.Fate = messenger.Fate_FATE_MAY_HAVE_RUN
	}

	return frame, nil
}
