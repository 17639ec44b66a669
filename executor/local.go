package executor

import (
	"bytes"
	"context"

	"limpetrail/messenger"
)

// Answer is the whole end of a run.
type Answer struct {
	// Body is the text of a model or the body of a plain service's answer.
	Body []byte
	// Tokens is the number of events of the answer.
	Tokens int
	// End is the last frame.
	End *messenger.Frame
}

// Do runs a request of this process to its end. When the context ends the run
// is stopped if it is idempotent; the others are left to finish.
func (executor *Executor) Do(ctx context.Context, request *messenger.ExecuteRequest) Answer {
	request.Incarnation = executor.Incarnation

	run, err := executor.Submit(request) //nolint:contextcheck // Runs end with the executor; the caller's end revokes this one.
	if err != nil {
		return Answer{End: &messenger.Frame{
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
		events, end, changed := run.After(uint64(len(received)))
		received = append(received, events...)

		if end != nil {
			return Answer{Body: bytes.Join(received, nil), Tokens: len(received), End: end}
		}

		if len(events) == 0 {
			<-changed
		}
	}
}
