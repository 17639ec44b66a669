package handler

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/juju/errors"

	"limpetrail/classifier"
	"limpetrail/dispatcher"
)

// RequestIDHeader carries the ID under which an answer can be read again.
const RequestIDHeader = "X-Request-Id"

// completionSink writes a completion, streamed or whole.
type completionSink struct {
	writer http.ResponseWriter
	shape  shape
	wanted completionRequest

	id     string
	text   strings.Builder
	tokens int
	// begun is set once the status line left, after which a refusal can only
	// be an event of the stream.
	begun bool
}

var _ dispatcher.Sink = (*completionSink)(nil)

func newCompletionSink(writer http.ResponseWriter, shape shape, wanted completionRequest) *completionSink {
	return &completionSink{writer: writer, shape: shape, wanted: wanted}
}

// Begin implements dispatcher.Sink.
func (sink *completionSink) Begin(requestID string) error {
	sink.id = requestID
	sink.writer.Header().Set(RequestIDHeader, requestID)

	if !sink.wanted.Stream {
		return nil
	}

	sink.writer.Header().Set("Content-Type", "text/event-stream")
	sink.writer.Header().Set("Cache-Control", "no-cache")
	sink.writer.WriteHeader(http.StatusOK)
	sink.begun = true

	return sink.flush()
}

// Event implements dispatcher.Sink.
func (sink *completionSink) Event(event []byte) error {
	sink.tokens++

	if !sink.wanted.Stream {
		sink.text.Write(event)

		return nil
	}

	return sink.send(sink.shape.chunk(sink.id, sink.wanted.Model, string(event)))
}

// End implements dispatcher.Sink.
func (sink *completionSink) End(end dispatcher.End) error {
	counts := &usage{
		PromptTokens:     end.PromptTokens,
		CompletionTokens: sink.tokens,
		TotalTokens:      end.PromptTokens + sink.tokens,
	}

	if sink.wanted.Stream {
		last := sink.shape.chunk(sink.id, sink.wanted.Model, "")
		last.Choices[0].FinishReason = &end.FinishReason
		last.Usage = counts

		if err := sink.send(last); err != nil {
			return err
		}

		return sink.write("data: [DONE]\n\n")
	}

	answer := sink.shape.whole(sink.id, sink.wanted.Model, sink.text.String())
	answer.Choices[0].FinishReason = &end.FinishReason
	answer.Usage = counts
	sink.begun = true
	sink.writer.Header().Set("Content-Type", "application/json")

	return errors.Trace(json.NewEncoder(sink.writer).Encode(answer))
}

// finish tells the caller of an outcome that is no answer.
func (sink *completionSink) finish(id string, outcome classifier.Outcome) {
	if outcome.Fate == classifier.Answered {
		return
	}

	problem := classifier.NewProblem(http.StatusServiceUnavailable, id, outcome)
	if !sink.begun {
		problem.Write(sink.writer)

		return
	}

	body, err := json.Marshal(problem)
	if err != nil {
		return
	}

	// The connection is the caller's; a failed write has no one left to tell.
	_ = sink.write("event: error\ndata: " + string(body) + "\n\n")
}

func (sink *completionSink) send(chunk completion) error {
	body, err := json.Marshal(chunk)
	if err != nil {
		return errors.Trace(err)
	}

	return sink.write("data: " + string(body) + "\n\n")
}

func (sink *completionSink) write(text string) error {
	if _, err := sink.writer.Write([]byte(text)); err != nil {
		return errors.Trace(err)
	}

	return sink.flush()
}

func (sink *completionSink) flush() error {
	return errors.Trace(http.NewResponseController(sink.writer).Flush())
}
