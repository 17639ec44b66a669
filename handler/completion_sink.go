package handler

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"limpetrail/classifier"
	"limpetrail/dispatcher"
)

// RequestIDHeader carries the ID by which the answer can be read again.
const RequestIDHeader = "X-Request-Id"

const eventStreamType = "text/event-stream"

// completionSink writes a completion to the caller, as an event stream or as one
// JSON object.
type completionSink struct {
	writer     http.ResponseWriter
	format     responseFormat
	parameters completionParameters

	id string
	// created is the same in all chunks of an answer.
	created time.Time
	text    strings.Builder
	// tokens is the number of events, including those before the offset from
	// which an answer is read back.
	tokens int
	// headerSent is set once the status line was sent. After that, a failure can
	// only be reported as an event of the stream.
	headerSent bool
}

var _ sink = (*completionSink)(nil)

func newCompletionSink(writer http.ResponseWriter, format responseFormat, parameters completionParameters) *completionSink {
	return &completionSink{writer: writer, format: format, parameters: parameters, created: time.Now()}
}

// Begin implements dispatcher.Sink.
func (sink *completionSink) Begin(requestID string) error {
	sink.id = requestID
	sink.writer.Header().Set(RequestIDHeader, requestID)

	if !sink.parameters.Stream {
		return nil
	}

	sink.writer.Header().Set("Content-Type", eventStreamType)
	sink.writer.Header().Set("Cache-Control", "no-cache")
	sink.writer.WriteHeader(http.StatusOK)
	sink.headerSent = true

	return sink.flush()
}

// Event implements dispatcher.Sink.
func (sink *completionSink) Event(event []byte) error {
	index := sink.tokens
	sink.tokens++

	if !sink.parameters.Stream {
		sink.text.Write(event)

		return nil
	}

	// The event's ID is its index, which tells a caller from which offset to
	// resume after a lost connection.
	return sink.send("id: "+strconv.Itoa(index)+"\n", sink.format.newChunk(sink.id, sink.parameters.Model, string(event), sink.created))
}

// End implements dispatcher.Sink.
func (sink *completionSink) End(end dispatcher.End) error {
	counts := &usage{
		PromptTokens:     end.PromptTokens,
		CompletionTokens: sink.tokens,
		TotalTokens:      end.PromptTokens + sink.tokens,
	}

	if sink.parameters.Stream {
		lastChunk := sink.format.newChunk(sink.id, sink.parameters.Model, "", sink.created)
		lastChunk.Choices[0].FinishReason = &end.FinishReason
		lastChunk.Usage = counts

		if err := sink.send("", lastChunk); err != nil {
			return err
		}

		return sink.write("data: [DONE]\n\n")
	}

	answer := sink.format.newCompletion(sink.id, sink.parameters.Model, sink.text.String(), sink.created)
	answer.Choices[0].FinishReason = &end.FinishReason
	answer.Usage = counts
	sink.headerSent = true
	sink.writer.Header().Set("Content-Type", "application/json")

	return errors.Trace(json.NewEncoder(sink.writer).Encode(answer))
}

// fail implements sink.
func (sink *completionSink) fail(problem classifier.Problem) {
	if !sink.headerSent {
		writeProblem(sink.writer, problem)

		return
	}

	body, err := json.Marshal(problem)
	if err != nil {
		return
	}

	// A failed write means that the caller is gone, so the error is dropped.
	_ = sink.write("event: error\ndata: " + string(body) + "\n\n")
}

func (sink *completionSink) send(prefix string, chunk completion) error {
	body, err := json.Marshal(chunk)
	if err != nil {
		return errors.Trace(err)
	}

	return sink.write(prefix + "data: " + string(body) + "\n\n")
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
