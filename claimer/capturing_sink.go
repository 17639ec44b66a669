package claimer

import (
	"limpetrail/dispatcher"
)

// capturingSink forwards an answer to the caller and keeps a copy of it for the
// claim. The request continues after its caller has disconnected, because a
// later copy of the request needs the answer.
type capturingSink struct {
	sink dispatcher.Sink
	// onResult is called with the complete answer before its end is forwarded.
	// The result is nil if the answer is longer than MaxResultBytes.
	onResult func(result *Result)

	events [][]byte
	bytes  int
	// callerGone is set once a write to the caller has failed.
	callerGone bool
}

var _ dispatcher.Sink = (*capturingSink)(nil)

// Begin implements dispatcher.Sink.
func (capturing *capturingSink) Begin(requestID string) error {
	capturing.callerGone = capturing.sink.Begin(requestID) != nil

	return nil
}

// Event implements dispatcher.Sink.
func (capturing *capturingSink) Event(event []byte) error {
	capturing.bytes += len(event)

	if capturing.bytes <= MaxResultBytes {
		capturing.events = append(capturing.events, event)
	}

	if !capturing.callerGone {
		capturing.callerGone = capturing.sink.Event(event) != nil
	}

	return nil
}

// End implements dispatcher.Sink.
func (capturing *capturingSink) End(end dispatcher.End) error {
	capturing.onResult(capturing.result(end))

	if !capturing.callerGone {
		capturing.callerGone = capturing.sink.End(end) != nil
	}

	return nil
}

func (capturing *capturingSink) result(end dispatcher.End) *Result {
	if capturing.bytes > MaxResultBytes {
		return nil
	}

	return &Result{
		Events:       capturing.events,
		FinishReason: end.FinishReason,
		Status:       end.Status,
		MediaType:    end.MediaType,
		PromptTokens: end.PromptTokens,
	}
}

// replay writes a recorded answer to the sink.
func (result *Result) replay(attempt string, sink dispatcher.Sink) error {
	if err := sink.Begin(attempt); err != nil {
		return err
	}

	for _, event := range result.Events {
		if err := sink.Event(event); err != nil {
			return err
		}
	}

	return sink.End(dispatcher.End{
		FinishReason: result.FinishReason,
		Status:       result.Status,
		MediaType:    result.MediaType,
		PromptTokens: result.PromptTokens,
	})
}
