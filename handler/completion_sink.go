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

// RequestIDHeader carries the ID under which an answer can be read again.
const RequestIDHeader = "X-Request-Id"

const eventStreamType = "text/event-stream"

// completionSink writes a completion, streamed or whole.
type completionSink struct {
	writer http.ResponseWriter
	shape  shape
	wanted completionRequest

	id string
	// created is the same in all chunks of an answer.
	created time.Time
	text    strings.Builder
	// tokens is the number of events, those before a reader's offset included.
	tokens int
	// begun is set once the status line left, after which a refusal can only
	// be an event of the stream.
	begun bool
}

var _ sink = (*completionSink)(nil)

func newCompletionSink(writer http.ResponseWriter, shape shape, wanted completionRequest) *completionSink {
	return &completionSink{writer: writer, shape: shape, wanted: wanted, created: time.Now()}
}

// Begin implements dispatcher.Sink.
func (sink *completionSink) Begin(requestID string) error {
	sink.id = requestID
	sink.writer.Header().Set(RequestIDHeader, requestID)

	if !sink.wanted.Stream {
		return nil
	}

	sink.writer.Header().Set("Content-Type", eventStreamType)
	sink.writer.Header().Set("Cache-Control", "no-cache")
	sink.writer.WriteHeader(http.StatusOK)
	sink.begun = true

	return sink.flush()
}

// Event implements dispatcher.Sink.
func (sink *completionSink) Event(event []byte) error {
	index := sink.tokens
	sink.tokens++

	if !sink.wanted.Stream {
		sink.text.Write(event)

		return nil
	}

	// The event's ID is its index, so that a caller knows where to read on.
	return sink.send("id: "+strconv.Itoa(index)+"\n", sink.shape.chunk(sink.id, sink.wanted.Model, string(event), sink.created))
}

// End implements dispatcher.Sink.
func (sink *completionSink) End(end dispatcher.End) error {
	counts := &usage{
		PromptTokens:     end.PromptTokens,
		CompletionTokens: sink.tokens,
		TotalTokens:      end.PromptTokens + sink.tokens,
	}

	if sink.wanted.Stream {
		last := sink.shape.chunk(sink.id, sink.wanted.Model, "", sink.created)
		last.Choices[0].FinishReason = &end.FinishReason
		last.Usage = counts

		if err := sink.send("", last); err != nil {
			return err
		}

		return sink.write("data: [DONE]\n\n")
	}

	answer := sink.shape.whole(sink.id, sink.wanted.Model, sink.text.String(), sink.created)
	answer.Choices[0].FinishReason = &end.FinishReason
	answer.Usage = counts
	sink.begun = true
	sink.writer.Header().Set("Content-Type", "application/json")

	return errors.Trace(json.NewEncoder(sink.writer).Encode(answer))
}

// refuse implements sink. After the status line it can only be an event.
func (sink *completionSink) refuse(problem classifier.Problem) {
	if !sink.begun {
		writeProblem(sink.writer, problem)

		return
	}

	body, err := json.Marshal(problem)
	if err != nil {
		return
	}

	// The connection is the caller's; a failed write has no one left to tell.
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
