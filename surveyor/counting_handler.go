package surveyor

import (
	"net/http"
	"sync/atomic"
)

// countingHandler counts the bytes of answers' bodies as they go out.
type countingHandler struct {
	handler http.Handler
	bytes   atomic.Int64
}

var _ http.Handler = (*countingHandler)(nil)

// ServeHTTP implements http.Handler.
func (counter *countingHandler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	counter.handler.ServeHTTP(&countingWriter{ResponseWriter: writer, bytes: &counter.bytes}, request)
}

type countingWriter struct {
	http.ResponseWriter

	bytes *atomic.Int64
}

// Write implements http.ResponseWriter.
func (writer *countingWriter) Write(body []byte) (int, error) {
	writer.bytes.Add(int64(len(body)))

	return writer.ResponseWriter.Write(body)
}
