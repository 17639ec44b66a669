package executor

import (
	"context"
	"io"
	"time"

	"github.com/juju/errors"

	"limpetrail/admitter"
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
	}

	for broken := 0; ; {
		place, refusal := executor.Admitter.Enter(ctx, ticket)
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

		switch verdict {
		case verdictEnded:
			return
		case verdictPreempted:
			executor.event(recorder.KindCancelled, ticket.RequestID, "Cause=online work needs the room")
		case verdictBroken:
			broken++
			if !executor.mayResume(ctx, run, broken) {
				executor.lose(run, err)

				return
			}
		}
	}
}

// mayResume tells whether a broken stream is begun again here, after a pause.
// A request that is not idempotent never is.
func (executor *Executor) mayResume(ctx context.Context, run *Run, broken int) bool {
	if !run.Request.GetIdempotent() || broken >= executor.Settings.EngineAttempts {
		return false
	}

	select {
	case <-time.After(executor.Settings.EngineRetryPause << broken):
	case <-ctx.Done():
	}

	return ctx.Err() == nil
}

// refuse ends a run that holds no place. One that started earlier and lost its
// place is not said to be not run.
func (executor *Executor) refuse(run *Run, reason string, retryAfter time.Duration) {
	fate := messenger.Fate_FATE_NOT_RUN
	if current, _ := run.Fate(); current == messenger.Fate_FATE_RUNNING {
		fate = messenger.Fate_FATE_MAY_HAVE_RUN
	}

	executor.finishRefused(run, fate, reason, retryAfter)
}

// lose ends a run whose stream broke for good.
func (executor *Executor) lose(run *Run, err error) {
	executor.finishRefused(run, messenger.Fate_FATE_MAY_HAVE_RUN, "the backend server gave no whole answer: "+err.Error(), 0)
}

func (executor *Executor) finishRefused(run *Run, fate messenger.Fate, reason string, retryAfter time.Duration) {
	finished := run.Finish(fate, &messenger.Frame{
		Kind:             messenger.FrameKind_FRAME_KIND_REFUSED,
		Reason:           reason,
		RetryAfterMicros: uint64(retryAfter.Microseconds()),
	})
	if finished {
		executor.event(recorder.KindRefused, run.Request.GetRequestId(), "Fate="+fate.String(), "Reason="+reason)
	}
}

// stay runs the request at the backend server for as long as it holds a place.
func (executor *Executor) stay(ctx context.Context, run *Run, place admitter.Place) (verdict, error) {
	if run.Request.GetPlain() {
		return executor.call(ctx, run)
	}

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	preempted := make(chan struct{})

	go func() {
		select {
		case <-place.Preempted():
			close(preempted)
			cancel()
		case <-ctx.Done():
		}
	}()

	err := executor.generate(ctx, run, place)

	select {
	case <-preempted:
		if err != nil {
			return verdictPreempted, nil
		}
	default:
	}

	if err != nil && errors.Is(err, errors.NotValid) {
		executor.lose(run, err)

		return verdictEnded, nil
	}

	if err != nil {
		return verdictBroken, errors.Trace(err)
	}

	return verdictEnded, nil
}

// generate streams tokens from the engine, after those of an earlier stay.
func (executor *Executor) generate(ctx context.Context, run *Run, place admitter.Place) error {
	request := run.Request
	generation := driver.Generation{
		ID:      request.GetRequestId(),
		Path:    request.GetPath(),
		Body:    request.GetBody(),
		Adapter: request.GetAdapter(),
	}

	for _, event := range append(request.GetPrefix(), run.Events()...) {
		generation.Prefix = append(generation.Prefix, string(event))
	}

	stream, err := executor.Engine.Generate(ctx, generation)
	if err != nil {
		return errors.Trace(err)
	}

	defer stream.Close()

	for {
		token, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}

		if err != nil {
			// The engine goes on with a stream that nobody reads, so it is told.
			_ = executor.Engine.Cancel(context.WithoutCancel(ctx), generation.ID)

			return errors.Trace(err)
		}

		place.Token()
		run.Append([]byte(token.Text))

		if token.Finish != "" {
			executor.answer(run, &messenger.Frame{
				Kind:         messenger.FrameKind_FRAME_KIND_ENDED,
				FinishReason: token.Finish,
				PromptTokens: uint32(token.PromptTokens),
			})

			return nil
		}
	}
}

// call runs a plain service's call, once.
func (executor *Executor) call(ctx context.Context, run *Run) (verdict, error) {
	answer, err := executor.Service.Call(ctx, driver.ServiceCall{
		RequestID:   run.Request.GetRequestId(),
		Path:        run.Request.GetPath(),
		ContentType: run.Request.GetContentType(),
		Body:        run.Request.GetBody(),
	})

	switch {
	case errors.Is(err, errors.NotProvisioned):
		executor.finishRefused(run, messenger.Fate_FATE_NOT_RUN, "the backend server takes no connection", executor.Settings.Heartbeat)

		return verdictEnded, nil
	case err != nil:
		return verdictBroken, errors.Trace(err)
	}

	run.Append(answer.Body)
	executor.answer(run, &messenger.Frame{
		Kind:        messenger.FrameKind_FRAME_KIND_ENDED,
		Status:      uint32(answer.Status),
		ContentType: answer.ContentType,
	})

	return verdictEnded, nil
}

func (executor *Executor) answer(run *Run, end *messenger.Frame) {
	if run.Finish(messenger.Fate_FATE_ANSWERED, end) {
		executor.event(recorder.KindAnswered, run.Request.GetRequestId())
	}
}
