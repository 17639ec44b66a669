package batcher

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"limpetrail/bookkeeper"
	"limpetrail/exchanger"
	"limpetrail/forwarder"
	"limpetrail/matcher"
	"limpetrail/placer"
	"limpetrail/quarantiner"
	"limpetrail/retrier"
)

const (
	// firstEventTimeout bounds the wait for the first event of an item. An engine
	// that is full with online requests takes about a second to free a place.
	firstEventTimeout = 2 * time.Second
	// eventTimeout without an event is considered a fault of the backend server.
	eventTimeout = time.Second
	// eventCompletionTimeout is the extra time for an event that has arrived in part.
	eventCompletionTimeout = time.Second
	// backoffBase is the maximum pause after the first failed attempt.
	backoffBase = 300 * time.Millisecond
	// backoffLimit is the maximum of all pauses; a few of them fit before the due time.
	backoffLimit = 4 * time.Second
	// readSize is the size of the buffer for reading from a stream.
	readSize = 4 << 10
)

// destination is a route and the service that was picked among those of the route.
type destination struct {
	route   *matcher.Route
	service string
}

// routeFor returns the destination of an item by a configuration, or nil if no batch route
// matches.
func routeFor(document *matcher.Document, active *activeJob, pending *task) *destination {
	path, _, _ := strings.Cut(pending.item.Target, "?")

	route := document.Match(active.job.Host, path)
	if route == nil || route.Kind != matcher.Batch {
		return nil
	}

	return &destination{route: route, service: route.PickService(rand.Float64())}
}

// attemptOutcome is how an attempt at an item ended.
type attemptOutcome int

const (
	// completed attempts received the complete output.
	completed attemptOutcome = iota
	// interrupted attempts are resumed later, after the last event received.
	interrupted
	// failed attempts count towards the route's limit of attempts.
	failed
	// impossible attempts show that the item can never be completed.
	impossible
)

// String returns the name of the outcome in logs.
func (outcome attemptOutcome) String() string {
	return [...]string{"Whole", "Interrupted", "Failed", "Impossible"}[outcome]
}

// runAttempt makes one attempt at an item and applies its outcome.
func (batcher *Batcher) runAttempt(ctx context.Context, active *activeJob, pending *task, target *destination, grant *placer.Grant) {
	attempt, cancel := context.WithCancel(ctx)
	defer cancel()

	// The attempt is cancelled when the process stops, when the job stops here, or when
	// the placer preempts it.
	stop := context.AfterFunc(active.context, cancel) //nolint:contextcheck // Either context ends it.
	defer stop()

	go func() {
		select {
		case <-grant.Preempted:
			cancel()
		case <-attempt.Done():
		}
	}()

	grant.SetProgress(pending.eventCount)

	eventsBefore, started := pending.eventCount, time.Now()
	run, block, blocked := batcher.Quarantiner.Start(batcher.quarantineRequest(pending, target), grant.Server)
	if blocked {
		grant.Release()
		batcher.holdItem(active, pending, block)

		return
	}

	outcome, reason := batcher.sendItem(attempt, active, pending, target, grant, run)

	run.Close()
	grant.Release()
	batcher.runTimeEstimator.RecordAttempt(pending.eventCount-eventsBefore, time.Since(started))

	if outcome == completed {
		batcher.runTimeEstimator.RecordCompletedItem(pending.eventCount)
	}

	batcher.finishAttempt(active, pending, target, outcome, reason, grant, run, pending.eventCount-eventsBefore)
}

// finishAttempt records the result of an item, or queues the item for its next attempt.
func (batcher *Batcher) finishAttempt(active *activeJob, pending *task, target *destination, outcome attemptOutcome, reason string, grant *placer.Grant, run *quarantiner.Run, newEvents int) {
	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()

	active.running--
	batcher.endTrial(pending)

	if active.context.Err() != nil {
		return
	}

	batcher.Log.WithFields(logrus.Fields{
		"JobID": active.job.ID, "RequestID": pending.item.ID, "BackendServer": grant.Server.ID, "Ending": outcome.String(),
		"Reason": reason, "Events": pending.eventCount, "Gained": newEvents, "Failures": pending.failures,
	}).Log(logLevel(outcome), "Attempt at an item ended.")

	switch outcome {
	case completed:
		batcher.recordResult(active, pending, bookkeeper.Completed, reason)

		return
	case impossible:
		batcher.recordResult(active, pending, bookkeeper.GivenUp, reason)

		return
	case failed:
		pending.recordFailure()
		pending.avoid(grant.Server.ID)
		pending.notBefore = time.Now().Add(backoff(pending.failures))

		if pending.failures >= target.route.AttemptLimit {
			batcher.recordResult(active, pending, bookkeeper.GivenUp, "All attempts that the route allows failed.")

			return
		}
	default:
		// Preemption by online work is no fault of the server.
		if !isPreempted(grant) {
			if newEvents > 0 {
				pending.avoidServers = nil
			}

			pending.avoid(grant.Server.ID)

			if newEvents == 0 {
				pending.interruptions++
				pending.notBefore = time.Now().Add(backoff(pending.interruptions))
			}
		}

		if run.ServerEnded() {
			batcher.recordServerEnd(active, pending, target, grant)
		}
	}

	if time.Now().After(active.job.GiveUp) {
		batcher.recordResult(active, pending, bookkeeper.GivenUp, "The give-up time of the job has passed.")

		return
	}

	if active.committedBefore[pending.item.ID] {
		return
	}

	active.waiting = append(active.waiting, pending)
	signal(batcher.dispatchSignal)
}

func logLevel(outcome attemptOutcome) logrus.Level {
	if outcome == completed {
		return logrus.DebugLevel
	}

	return logrus.InfoLevel
}

func isPreempted(grant *placer.Grant) bool {
	select {
	case <-grant.Preempted:
		return true
	default:
		return false
	}
}

func backoff(failures int) time.Duration {
	return retrier.Backoff{Base: backoffBase, MaxPause: backoffLimit}.Pause(failures - 1)
}

func headerOf(item bookkeeper.Item) http.Header {
	header := http.Header{}
	for name, value := range item.Header {
		header.Set(name, value)
	}

	return header
}

// sendItem sends an item to a backend server and reads the events of the answer.
func (batcher *Batcher) sendItem(ctx context.Context, active *activeJob, pending *task, target *destination, grant *placer.Grant, run *quarantiner.Run) (attemptOutcome, string) {
	call := &forwarder.Call{
		ID: pending.item.ID, Method: http.MethodPost, Target: pending.item.Target, Host: active.job.Host,
		Header: exchanger.EndToEndHeaders(headerOf(pending.item)), Body: pending.item.Body, Route: target.route, Service: target.service,
		Deadline: active.job.GiveUp, LastEventID: pending.lastEvent,
	}

	started := time.Now()

	reply, err := batcher.Backend.Send(ctx, grant.Server, call, forwarder.Attempt{
		Remaining: time.Until(active.job.GiveUp), FirstByteDeadline: started.Add(firstEventTimeout), LastEventID: pending.lastEvent, Withdrawn: grant.Withdrawn, Repeatable: true,
	})
	if err != nil {
		return batcher.observeFailure(ctx, grant, run, err)
	}

	reply.RecordAnnouncements(grant, pending.item.ID)

	switch reply.Kind {
	case forwarder.Full:
		grant.Observe(placer.Full, 0)

		return interrupted, "The backend server is full."
	case forwarder.Misdirected:
		grant.Observe(placer.Unreachable, 0)

		return interrupted, "Another backend server answered at the address."
	case forwarder.Mismatched:
		grant.Observe(placer.Broken, 0)

		return interrupted, "The answer belongs to another request."
	default:
	}

	defer reply.Answer.Close()

	switch reply.Answer.Status {
	case http.StatusOK:
		grant.Observe(placer.Answered, time.Since(started))

		if !batcher.attestStart(ctx, active, pending, grant, reply.Answer) {
			return interrupted, "The backend server has started again; the item does not go on there."
		}

		return batcher.readEvents(ctx, pending, grant, run, reply.Answer)
	case http.StatusUnprocessableEntity:
		return impossible, "The backend server reported that the item cannot be processed."
	case http.StatusInternalServerError:
		return failed, "The backend server reported an internal error."
	default:
		return interrupted, "The backend server answered " + http.StatusText(reply.Answer.Status) + "."
	}
}

// observeFailure reports an error of an exchange to the placer, unless the attempt was
// cancelled or the server withdrawn. The attempt counts as interrupted.
func (batcher *Batcher) observeFailure(ctx context.Context, grant *placer.Grant, run *quarantiner.Run, err error) (attemptOutcome, string) {
	failure := exchanger.FailureError{}

	switch {
	case ctx.Err() != nil:
		return interrupted, "The attempt was cancelled, or preempted by online work."
	case errors.Is(err, exchanger.ErrWithdrawn), errors.Is(err, exchanger.ErrRestarted):
	case errors.As(err, &failure) && failure.Kind == exchanger.Unsent:
		grant.Observe(placer.Unreachable, 0)
	case failure.Kind == exchanger.Unanswered:
		grant.Observe(placer.Silent, 0)
	default:
		grant.Observe(run.BreakOff(ctx, err.Error()), 0)
	}

	return interrupted, err.Error()
}

// endedEarly is the reason of a stream that ended without an error and is not complete.
const endedEarly = "The stream ended within an event, or without one."

// readEvents reads the events of an answer and appends them to the item's output.
func (batcher *Batcher) readEvents(ctx context.Context, pending *task, grant *placer.Grant, run *quarantiner.Run, answer *exchanger.Answer) (attemptOutcome, string) {
	events := answer.EventParser()
	buffer := make([]byte, readSize)
	// lastEventAt is when the last complete event arrived. Bytes of an incomplete event
	// do not count.
	lastEventAt, eventsBefore := time.Now(), pending.eventCount

	for {
		if timeout := answer.AwaitData(lastEventAt.Add(eventTimeout)); timeout != nil {
			return batcher.observeFailure(ctx, grant, run, timeout)
		}

		count, err := answer.ReadPart(buffer, lastEventAt.Add(eventTimeout+eventCompletionTimeout))
		if invalid := appendEvents(pending, events, buffer[:count]); invalid != nil {
			grant.Observe(run.BreakOff(ctx, invalid.Error()), 0)

			return interrupted, invalid.Error()
		}

		grant.SetProgress(pending.eventCount)

		if pending.eventCount > eventsBefore {
			lastEventAt, eventsBefore = time.Now(), pending.eventCount

			run.Begin()
			batcher.clearSuspicion(pending)
		}

		switch {
		case errors.Is(err, io.EOF) && events.AtEventBoundary() && pending.eventCount > 0 && (answer.Framed || run.EndedByItself(ctx)):
			grant.Observe(placer.Complete, 0)

			return completed, ""
		case errors.Is(err, io.EOF):
			grant.Observe(run.BreakOff(ctx, endedEarly), 0)

			return interrupted, endedEarly
		case err != nil:
			return batcher.observeFailure(ctx, grant, run, err)
		}
	}
}

// appendEvents adds the complete events in the data to the item's output. It returns
// an error if they do not follow the last one.
func appendEvents(pending *task, events *exchanger.EventParser, data []byte) error {
	if err := events.Write(data); err != nil {
		return errors.Trace(err)
	}

	for {
		event, found := events.Next()
		if !found {
			return nil
		}

		if event.ID < 0 || pending.lastEvent >= 0 && event.ID != pending.lastEvent+1 {
			return errors.Errorf("event %d follows event %d; expected the next number", event.ID, pending.lastEvent)
		}

		pending.addEvent(event.ID, event.Data)
	}
}

// recordResult records the result of an item, to be committed later unless an earlier
// owner has committed one. The mutex must be held.
func (batcher *Batcher) recordResult(active *activeJob, pending *task, state bookkeeper.State, reason string) {
	result := bookkeeper.Result{ID: pending.item.ID, State: state}

	if state == bookkeeper.Completed {
		result.Output = pending.output.String()
	} else {
		batcher.Log.WithFields(logrus.Fields{"JobID": active.job.ID, "RequestID": pending.item.ID, "Reason": reason}).Warn("Item is given up.")
	}

	active.removeTask(pending)

	if active.committedBefore[pending.item.ID] {
		return
	}

	active.uncommitted = append(active.uncommitted, result)

	signal(batcher.commitSignal)
}
