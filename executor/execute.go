package executor

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"limpetrail/admitter"
	"limpetrail/classifier"
	"limpetrail/driver"
	"limpetrail/messenger"
	"limpetrail/recorder"
)

// attemptResult is the result of one attempt at the backend server.
type attemptResult int

const (
	// attemptEnded means that the run has ended.
	attemptEnded attemptResult = iota
	// attemptPreempted means that the run's place was preempted for online work.
	attemptPreempted
	// attemptBroken means that the attempt failed without a complete answer.
	attemptBroken
	// attemptUnreached means that no connection to the backend server was made.
	attemptUnreached
	// attemptEndedServer means that the backend server ended before it began to answer.
	attemptEndedServer
)

// execute runs a request to its end: it acquires a place from the admitter, calls
// the backend server, and retries after a preemption or a broken attempt.
func (executor *Executor) execute(ctx context.Context, run *Run) {
	ctx, cancel := context.WithDeadline(ctx, run.Deadline)
	defer cancel()

	request := run.Request
	placeRequest := admitter.PlaceRequest{
		RequestID: request.GetRequestId(),
		Firm:      request.GetFirm(),
		Batch:     request.GetClass() == messenger.Class_CLASS_BATCH,
		Deadline:  run.Deadline,
		Alone:     request.GetAlone(),
	}
	if request.GetDueMillis() > 0 {
		placeRequest.Due = time.UnixMilli(request.GetDueMillis())
	}

	reached := false

	for failures := 0; ; {
		place, refusal := executor.acquireTurn(ctx, placeRequest)
		if place == nil {
			executor.finishWithoutPlace(run, refusal.Reason, refusal.RetryAfter)

			return
		}

		if !run.Start() {
			place.Release()

			return
		}

		executor.recordEvent(recorder.KindStarted, placeRequest.RequestID)
		result, err := executor.attempt(ctx, run, place)
		place.Release()

		if result == attemptUnreached && !reached {
			executor.finishRefused(run, messenger.Fate_FATE_NOT_RUN, &messenger.Frame{
				Reason:           "the backend server takes no connection",
				RetryAfterMicros: uint64(executor.Settings.Heartbeat.Microseconds()),
				Unreached:        true,
			})

			return
		}

		if result == attemptEndedServer || result == attemptUnreached && len(run.Events()) == 0 {
			// The request itself may have ended the server. The entry decides whether to
			// send it anywhere again.
			executor.finishServerEnded(run)

			return
		}

		reached = true

		switch result {
		case attemptEnded, attemptEndedServer:
			return
		case attemptPreempted:
			executor.recordEvent(recorder.KindCancelled, placeRequest.RequestID, "Cause=online work needs the room")
		case attemptBroken, attemptUnreached:
			failures++
			if !executor.waitForRetry(ctx, run, failures) {
				executor.finishBroken(run, err)

				return
			}
		}
	}
}

// acquirePlace waits for a place. A leaving sidecar gives up when it may no longer
// start runs.
func (executor *Executor) acquirePlace(ctx context.Context, placeRequest admitter.PlaceRequest) (admitter.Place, classifier.Outcome) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	stop := context.AfterFunc(executor.startContext, cancel) //nolint:contextcheck // Either context ends it.
	defer stop()

	place, refusal := executor.Admitter.Acquire(ctx, placeRequest)
	if executor.startContext.Err() == nil {
		return place, refusal
	}

	if place != nil {
		place.Release()
	}

	refusal.Reason = executor.Instance + " is leaving"

	return nil, refusal
}

// waitForRetry reports whether to retry a broken attempt here, after waiting for
// the backoff. Requests that are not idempotent are never retried. Nor are batch
// items: the item may have broken the engine, and the job's owner decides whether
// to retry it.
func (executor *Executor) waitForRetry(ctx context.Context, run *Run, failures int) bool {
	if run.Request.GetClass() == messenger.Class_CLASS_BATCH {
		return false
	}

	if !run.Request.GetIdempotent() || failures >= executor.Settings.EngineAttempts {
		return false
	}

	select {
	case <-time.After(executor.Settings.EngineRetryPause << failures):
	case <-ctx.Done():
	case <-executor.startContext.Done():
	}

	return ctx.Err() == nil && executor.startContext.Err() == nil
}

// finishWithoutPlace refuses a run that did not get a place. A run that started
// earlier may have run; any other has not.
func (executor *Executor) finishWithoutPlace(run *Run, reason string, retryAfter time.Duration) {
	fate := messenger.Fate_FATE_NOT_RUN
	if current, _ := run.Fate(); current == messenger.Fate_FATE_RUNNING {
		fate = messenger.Fate_FATE_MAY_HAVE_RUN
	}

	executor.finishRefused(run, fate, &messenger.Frame{
		Reason:           reason,
		RetryAfterMicros: uint64(retryAfter.Microseconds()),
	})
}

// finishBroken ends a run that broke and is not retried.
func (executor *Executor) finishBroken(run *Run, err error) {
	executor.finishRefused(run, messenger.Fate_FATE_MAY_HAVE_RUN, &messenger.Frame{
		Reason: "the backend server gave no whole answer: " + err.Error(),
	})
}

// finishServerEnded ends a run under which the backend server ended before it began to
// answer.
func (executor *Executor) finishServerEnded(run *Run) {
	executor.finishRefused(run, messenger.Fate_FATE_MAY_HAVE_RUN, &messenger.Frame{
		Reason:     "the backend server ended before it began to answer",
		ServerEnds: executor.serverEnds.recordEnd(),
	})
}

// finishRejected ends a run whose request the backend server rejects or whose
// answer is too long. The status tells it apart from a broken stream.
func (executor *Executor) finishRejected(run *Run, err error) {
	executor.finishRefused(run, messenger.Fate_FATE_MAY_HAVE_RUN, &messenger.Frame{
		Status: http.StatusUnprocessableEntity,
		Reason: "the backend server refuses the request: " + err.Error(),
	})
}

func (executor *Executor) finishRefused(run *Run, fate messenger.Fate, end *messenger.Frame) {
	end.Kind = messenger.FrameKind_FRAME_KIND_REFUSED
	if run.Finish(fate, end) {
		executor.recordEvent(recorder.KindRefused, run.Request.GetRequestId(), "Fate="+fate.String(), "Reason="+end.GetReason())
	}
}

// attempt runs the request once at the backend server, until it ends or its place
// is preempted.
func (executor *Executor) attempt(ctx context.Context, run *Run, place admitter.Place) (attemptResult, error) {
	if run.Request.GetPlain() {
		return executor.callService(ctx, run)
	}

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	preempted := executor.watchPreemption(ctx, cancel, run, place)
	err := executor.generate(ctx, cancel, run, place)

	switch {
	case err == nil:
		return attemptEnded, nil
	case preempted.Load():
		return attemptPreempted, nil
	case errors.Is(err, errors.NotValid):
		executor.finishRejected(run, err)

		return attemptEnded, nil
	case errors.Is(err, errEndedServer):
		return attemptEndedServer, errors.Trace(err)
	case errors.Is(err, errors.NotProvisioned):
		return attemptUnreached, errors.Trace(err)
	default:
		return attemptBroken, errors.Trace(err)
	}
}

// errEndedServer is the cause when the backend server ended before it began to answer.
var errEndedServer = errors.New("the backend server ended before it began to answer")

// watchPreemption cancels the attempt when its place is preempted. A request that
// is not idempotent keeps running, since it must not start twice.
func (executor *Executor) watchPreemption(ctx context.Context, cancel func(), run *Run, place admitter.Place) *atomic.Bool {
	preempted := &atomic.Bool{}
	if !run.Request.GetIdempotent() {
		return preempted
	}

	go func() {
		select {
		case <-place.Preempted():
			preempted.Store(true)
			cancel()
		case <-ctx.Done():
		}
	}()

	return preempted
}

// generate streams tokens from the engine, resuming after those of an earlier
// attempt. A stream that yields no token for EngineSilence is cancelled: its
// connection may be dead without either end noticing.
func (executor *Executor) generate(ctx context.Context, cancel func(), run *Run, place admitter.Place) error {
	request := run.Request
	generation := driver.Generation{
		ID:      request.GetRequestId(),
		Path:    request.GetPath(),
		Body:    request.GetBody(),
		Adapter: request.GetAdapter(),
	}

	for _, event := range slices.Concat(request.GetPrefix(), run.Events()) {
		generation.Prefix = append(generation.Prefix, string(event))
	}

	watchdog := time.AfterFunc(executor.Settings.EngineSilence, cancel)
	defer watchdog.Stop()

	stream, err := executor.Engine.Generate(ctx, generation)
	if err != nil {
		executor.cancelStream(ctx, generation.ID, err)

		return errors.Trace(err)
	}
	defer stream.Close()

	executor.serverEnds.recordReached()

	first := len(generation.Prefix)
	nextIndex := first

	for {
		token, err := stream.Next()
		if err == nil && token.Index > nextIndex {
			err = errors.Errorf("the engine skipped from token %d to %d", nextIndex, token.Index)
		}

		if err == nil && token.Index < nextIndex {
			continue
		}

		if err == nil && !executor.appendToken(run, place, token) {
			err = errors.NotValidf("answer of more than %d bytes", executor.Settings.AnswerBytes)
		}

		if err != nil {
			if ended := executor.cancelStream(ctx, generation.ID, err); ended && nextIndex == first {
				return errors.Annotate(errEndedServer, err.Error())
			}

			return errors.Trace(err)
		}

		if token.Finish != "" {
			return nil
		}

		nextIndex++

		watchdog.Reset(executor.Settings.EngineSilence)
	}
}

// appendToken adds a token to the answer and ends the run at the last one. It
// returns false when the answer is too long.
func (executor *Executor) appendToken(run *Run, place admitter.Place, token driver.Token) bool {
	place.RecordToken()

	if token.Finish == "" {
		return run.Append(executor.Settings.AnswerBytes, []byte(token.Text))
	}

	executor.finishAnswered(run, &messenger.Frame{
		Kind:         messenger.FrameKind_FRAME_KIND_ENDED,
		FinishReason: token.Finish,
		PromptTokens: uint32(token.PromptTokens),
	}, []byte(token.Text))

	return true
}

// cancelStream cancels the generation at the engine, which would continue without
// a reader otherwise. It does nothing if the engine was never reached. It reports whether
// the engine has ended since, so that it takes no connection.
func (executor *Executor) cancelStream(ctx context.Context, id string, cause error) bool {
	if errors.Is(cause, errors.NotProvisioned) {
		return false
	}

	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), executor.Settings.CancelTimeout)
	defer cancel()

	err := executor.Engine.Cancel(ctx, id)
	if err != nil {
		executor.Log.WithError(err).WithField("RequestID", id).Warn("The engine did not confirm the cancellation of a request.")
	}

	return errors.Is(err, errors.NotProvisioned)
}

// callService calls a plain service. An idempotent call has a timeout of
// ServiceSilence, since its connection may be dead without either end noticing.
func (executor *Executor) callService(ctx context.Context, run *Run) (attemptResult, error) {
	if run.Request.GetIdempotent() {
		bounded, cancel := context.WithTimeout(ctx, executor.Settings.ServiceSilence)
		defer cancel()

		ctx = bounded
	}

	answer, err := executor.Service.Call(ctx, driver.ServiceCall{
		RequestID:   run.Request.GetRequestId(),
		Path:        run.Request.GetPath(),
		ContentType: run.Request.GetContentType(),
		Body:        run.Request.GetBody(),
	})

	switch {
	case errors.Is(err, errors.NotProvisioned):
		return attemptUnreached, errors.Trace(err)
	case err != nil:
		return attemptBroken, errors.Trace(err)
	}

	executor.finishAnswered(run, &messenger.Frame{
		Kind:        messenger.FrameKind_FRAME_KIND_ENDED,
		Status:      uint32(answer.Status),
		ContentType: answer.ContentType,
	}, slices.Collect(slices.Chunk(answer.Body, maxFrameBytes))...)

	return attemptEnded, nil
}

// finishAnswered ends a run with its last events and the last frame.
func (executor *Executor) finishAnswered(run *Run, end *messenger.Frame, events ...[]byte) {
	if run.Complete(end, events...) {
		executor.recordEvent(recorder.KindAnswered, run.Request.GetRequestId())
	}
}
