package executor

import (
	"bytes"
	"context"

	"limpetrail/messenger"
)

// Answer is the complete outcome of a run.
type Answer struct {
	// Body is the model's text or the body of the plain service's answer.
	Body []byte
	// Tokens is the number of events in the answer.
	Tokens int
	// LastFrame is the final frame.
	LastFrame *messenger.Frame
}

// Do runs a request of this process to its end and returns the outcome. When
// the context ends, a queued run is revoked and an idempotent one is stopped; a
// running non-idempotent one is left to finish.
func (executor *Executor) Do(ctx context.Context, request *messenger.ExecuteRequest) Answer {
	request.Incarnation = executor.Incarnation

	run, err := executor.Submit(request) //nolint:contextcheck // Runs end with the executor's context; the end of the caller's context revokes this one.
	if err != nil {
		return Answer{LastFrame: &messenger.Frame{
			Kind:   messenger.FrameKind_FRAME_KIND_REFUSED,
			Fate:   messenger.Fate_FATE_NOT_RUN,
			Reason: err.Error(),
		}}
	}
	defer run.Follow()()

	stop := context.AfterFunc(ctx, func() {
		executor.Revoke(request.GetRequestId(), executor.Incarnation, request.GetIdempotent())
	})
	defer stop()

	received := [][]byte{}

	for {
		events, end, changed := run.EventsAfter(uint64(len(received)))
		received = append(received, events...)

		if end != nil {
			return Answer{Body: bytes.Join(received, nil), Tokens: len(received), LastFrame: end}
		}

		if len(events) == 0 {
			<-changed
		}
	}
}
