package handler

import (
	"bytes"
	"net/http"

	"github.com/juju/errors"

	"limpetrail/classifier"
	"limpetrail/dispatcher"
)

// serviceSink buffers a plain service's answer and writes it at its end.
type serviceSink struct {
	writer http.ResponseWriter
	// body's size is limited by what a sidecar accepts from a service.
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
		// A 1xx status cannot end an answer.
		status = http.StatusBadGateway
	}

	if end.MediaType != "" {
		sink.writer.Header().Set("Content-Type", end.MediaType)
	}

	sink.writer.WriteHeader(status)
	_, err := sink.body.WriteTo(sink.writer)

	return errors.Trace(err)
}

// fail implements sink.
func (sink *serviceSink) fail(problem classifier.Problem) {
	writeProblem(sink.writer, problem)
}
