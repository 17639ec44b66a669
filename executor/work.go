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

// verdict says how one stay at the backend server ended.
type verdict int

const (
	verdictEnded verdict = iota
	verdictPreempted
	verdictBroken
	// verdictUnreached means that the backend server took no connection.
	verdictUnreached
)

// work takes the run through admission and the backend server to its end.
func (executor *Executor) work(ctx context.Context, run *Run) {
	ctx, cancel := context.WithDeadline(ctx, run.Deadline)
	defer cancel()

	request := run.Request
	ticket := admitter.Ticket{
		RequestID: request.GetRequestId(),
		Firm:      request.GetFirm(),
		Batch:     request.GetClass() == messenger.Class_CLASS_BATCH,
		Deadline:  run.Deadline,
		Alone:     request.GetAlone(),
	}
	if request.GetDueMillis() > 0 {
		ticket.Due = time.UnixMilli(request.GetDueMillis())
	}

	reached := false

	for broken := 0; ; {
		place, refusal := executor.enter(ctx, ticket)
		if place == nil {
			executor.refuse(run, refusal.Reason, refusal.RetryAfter)

			return
		}

		if !run.Start() {
			place.Leave()

			return
		}

		executor.event(recorder.KindStarted, ticket.RequestID)
		verdict, err := executor.stay(ctx, run, place)
		place.Leave()

		if verdict == verdictUnreached && !reached {
			executor.finishRefused(run, messenger.Fate_FATE_NOT_RUN, &messenger.Frame{
				Reason:           "the backend server takes no connection",
				RetryAfterMicros: uint64(executor.Settings.Heartbeat.Microseconds()),
				Unreached:        true,
			})

			return
		}

		reached = true

		switch verdict {
		case verdictEnded:
			return
		case verdictPreempted:
			executor.event(recorder.KindCancelled, ticket.RequestID, "Cause=online work needs the room")
		case verdictBroken, verdictUnreached:
			broken++
			if !executor.mayResume(ctx, run, broken) {
				executor.lose(run, err)

				return
			}
		}
	}
}

// enter waits for a place, and no longer than a leaving sidecar starts work.
func (executor *Executor) enter(ctx context.Context, ticket admitter.Ticket) (admitter.Place, classifier.Outcome) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	stop := context.AfterFunc(executor.starting, cancel) //nolint:contextcheck // Either context ends it.
	defer stop()

	place, refusal := executor.Admitter.Enter(ctx, ticket)
	if executor.starting.Err() == nil {
		return place, refusal
	}

	if place != nil {
		place.Leave()
	}

	refusal.Reason = executor.Instance + " is leaving"

	return nil, refusal
}

// mayResume tells whether a broken stream is begun again here, after a pause.
// A request that is not idempotent never is. Nor is a batch item: it may be
// what broke the engine, and its job's owner decides what becomes of it.
func (executor *Executor) mayResume(ctx context.Context, run *Run, broken int) bool {
	if run.Request.GetClass() == messenger.Class_CLASS_BATCH {
		return false
	}

	if !run.Request.GetIdempotent() || broken >= executor.Settings.EngineAttempts {
		return false
	}

	select {
	case <-time.After(executor.Settings.EngineRetryPause << broken):
	case <-ctx.Done():
	case <-executor.starting.Done():
	}

	return ctx.Err() == nil && executor.starting.Err() == nil
}

// refuse ends a run that holds no place. One that started earlier and lost its
// place is not said to be not run.
func (executor *Executor) refuse(run *Run, reason string, retryAfter time.Duration) {
	fate := messenger.Fate_FATE_NOT_RUN
	if current, _ := run.Fate(); current == messenger.Fate_FATE_RUNNING {
		fate = messenger.Fate_FATE_MAY_HAVE_RUN
	}

	executor.finishRefused(run, fate, &messenger.Frame{
		Reason:           reason,
		RetryAfterMicros: uint64(retryAfter.Microseconds()),
	})
}

// lose ends a run whose stream broke for good.
func (executor *Executor) lose(run *Run, err error) {
	executor.finishRefused(run, messenger.Fate_FATE_MAY_HAVE_RUN, &messenger.Frame{
		Reason: "the backend server gave no whole answer: " + err.Error(),
	})
}

// reject ends a run that the backend server refuses as such. The status tells
// it from a stream that broke.
func (executor *Executor) reject(run *Run, err error) {
	executor.finishRefused(run, messenger.Fate_FATE_MAY_HAVE_RUN, &messenger.Frame{
		Status: http.StatusUnprocessableEntity,
		Reason: "the backend server refuses the request: " + err.Error(),
	})
}

func (executor *Executor) finishRefused(run *Run, fate messenger.Fate, end *messenger.Frame) {
	end.Kind = messenger.FrameKind_FRAME_KIND_REFUSED
	if run.Finish(fate, end) {
		executor.event(recorder.KindRefused, run.Request.GetRequestId(), "Fate="+fate.String(), "Reason="+end.GetReason())
	}
}

// stay runs the request at the backend server for as long as it holds a place.
func (executor *Executor) stay(ctx context.Context, run *Run, place admitter.Place) (verdict, error) {
	if run.Request.GetPlain() {
		return executor.call(ctx, run)
	}

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	preempted := executor.watchPreemption(ctx, cancel, run, place)
	err := executor.generate(ctx, cancel, run, place)

	switch {
	case err == nil:
		return verdictEnded, nil
	case preempted.Load():
		return verdictPreempted, nil
	case errors.Is(err, errors.NotValid):
		executor.reject(run, err)

		return verdictEnded, nil
	case errors.Is(err, errors.NotProvisioned):
		return verdictUnreached, errors.Trace(err)
	default:
		return verdictBroken, errors.Trace(err)
	}
}

// watchPreemption ends the stay when its place is taken back. A request that
// is not idempotent keeps its place, since it must not start twice.
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

// generate streams tokens from the engine, after those of an earlier stay. A
// stream that yields nothing for a while is given up: its connection may be
// dead without either end noticing.
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

	next := len(generation.Prefix)

	for {
		token, err := stream.Next()
		if err == nil && token.Index > next {
			err = errors.Errorf("the engine skipped from token %d to %d", next, token.Index)
		}

		if err == nil && token.Index < next {
			continue
		}

		if err == nil && !executor.takeToken(run, place, token) {
			err = errors.NotValidf("answer of more than %d bytes", executor.Settings.AnswerBytes)
		}

		if err != nil {
			executor.cancelStream(ctx, generation.ID, err)

			return errors.Trace(err)
		}

		if token.Finish != "" {
			return nil
		}

		next++

		watchdog.Reset(executor.Settings.EngineSilence)
	}
}

// takeToken adds a token to the answer. It returns false when the answer is
// too long.
func (executor *Executor) takeToken(run *Run, place admitter.Place, token driver.Token) bool {
	place.Token()

	if token.Finish == "" {
		return run.Append(executor.Settings.AnswerBytes, []byte(token.Text))
	}

	executor.answer(run, &messenger.Frame{
		Kind:         messenger.FrameKind_FRAME_KIND_ENDED,
		FinishReason: token.Finish,
		PromptTokens: uint32(token.PromptTokens),
	}, []byte(token.Text))

	return true
}

// cancelStream tells the engine that nobody reads the stream any more; it
// would go on otherwise. A stream that never began needs no word.
func (executor *Executor) cancelStream(ctx context.Context, id string, cause error) {
	if errors.Is(cause, errors.NotProvisioned) {
		return
	}

	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), executor.Settings.CancelTimeout)
	defer cancel()

	if err := executor.Engine.Cancel(ctx, id); err != nil {
		executor.Log.WithError(err).WithField("RequestID", id).Warn("The engine confirmed no cancel.")
	}
}

// call runs a plain service's call. An idempotent one that takes too long is
// broken off, since its connection may be dead without either end noticing.
func (executor *Executor) call(ctx context.Context, run *Run) (verdict, error) {
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
		return verdictUnreached, errors.Trace(err)
	case err != nil:
		return verdictBroken, errors.Trace(err)
	}

	executor.answer(run, &messenger.Frame{
		Kind:        messenger.FrameKind_FRAME_KIND_ENDED,
		Status:      uint32(answer.Status),
		ContentType: answer.ContentType,
	}, slices.Collect(slices.Chunk(answer.Body, maxFrameBytes))...)

	return verdictEnded, nil
}

func (executor *Executor) answer(run *Run, end *messenger.Frame, events ...[]byte) {
	if run.Complete(end, events...) {
		executor.event(recorder.KindAnswered, run.Request.GetRequestId())
	}
}
