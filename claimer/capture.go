package claimer

import (
	"limpetrail/dispatcher"
)

// capture passes an answer on and keeps it for the record. A caller that is
// gone does not end the request: its answer is still wanted for a resend.
type capture struct {
	sink dispatcher.Sink
	// record is called with the whole answer before its end is passed on. The
	// result is nil when it is too long to be kept.
	record func(result *Result)

	events [][]byte
	bytes  int
	// gone is set once the caller cannot be written to.
	gone bool
}

var _ dispatcher.Sink = (*capture)(nil)

// Begin implements dispatcher.Sink.
func (capture *capture) Begin(requestID string) error {
	capture.gone = capture.sink.Begin(requestID) != nil

	return nil
}

// Event implements dispatcher.Sink.
func (capture *capture) Event(event []byte) error {
	capture.bytes += len(event)

	if capture.bytes <= MaxResultBytes {
		capture.events = append(capture.events, event)
	}

	if !capture.gone {
		capture.gone = capture.sink.Event(event) != nil
	}

	return nil
}

// End implements dispatcher.Sink.
func (capture *capture) End(end dispatcher.End) error {
	capture.record(capture.result(end))

	if !capture.gone {
		capture.gone = capture.sink.End(end) != nil
	}

	return nil
}

func (capture *capture) result(end dispatcher.End) *Result {
	if capture.bytes > MaxResultBytes {
		return nil
	}

	return &Result{
		Events:       capture.events,
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
