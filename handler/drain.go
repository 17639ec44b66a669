package handler

import (
	"io"
	"net/http"
	"time"
)

const (
	// drainBytes of a body that is too long are read and thrown away. A caller
	// that is still sending would see a reset connection and not the answer.
	drainBytes = 64 << 20
	// drainTime bounds the reading.
	drainTime = 2 * time.Second
)

// Drain throws away what is left of a body that will not be used, so that its
// sender reads the answer.
func Drain(writer http.ResponseWriter, body io.Reader) {
	// Without a deadline, as in tests with recorders, the bytes are the bound.
	_ = http.NewResponseController(writer).SetReadDeadline(time.Now().Add(drainTime))
	// The sender may stop; there is nothing to do about it.
	_, _ = io.CopyN(io.Discard, body, drainBytes)
}
