package handler

import (
	"bytes"
	"net/http"

	"github.com/juju/errors"

	"limpetrail/classifier"
	"limpetrail/dispatcher"
)

// serviceSink writes a plain service's answer, whole.
type serviceSink struct {
	writer http.ResponseWriter
	// body is bounded by what a sidecar takes from a service.
	body bytes.Buffer
}

var _ sink = (*serviceSink)(nil)

// Begin implements dispatcher.Sink.
func (sink *serviceSink) Begin(requestID string) error {
	sink.writer.Header().Set(RequestIDHeader, requestID)

	return nil
}

// Event implements dispatcher.Sink.
func (sink *serviceSink) Event(event []byte) error {
	sink.body.Write(event)

	return nil
}

// End implements dispatcher.Sink.
func (sink *serviceSink) End(end dispatcher.End) error {
	status := end.Status
	if status < http.StatusOK {
		// An informational status is no end of an answer.
		status = http.StatusBadGateway
	}

	if end.MediaType != "" {
		sink.writer.Header().Set("Content-Type", end.MediaType)
	}

	sink.writer.WriteHeader(status)
	_, err := sink.body.WriteTo(sink.writer)

	return errors.Trace(err)
}

func (sink *serviceSink) refuse(problem classifier.Problem) {
	writeProblem(sink.writer, problem)
}
