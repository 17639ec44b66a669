package surveyor

import (
	"net/http"
	"sync/atomic"
)

// countingHandler counts the bytes of the response bodies that the wrapped
// handler writes.
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
func (writer *countingWriter) Write(data []byte) (int, error) {
	writer.bytes.Add(int64(len(data)))

	return writer.ResponseWriter.Write(data)
}
