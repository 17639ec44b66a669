package handler

import (
	"io"
	"net/http"
	"time"
)

const (
	// maxDiscardBytes is how much of an oversized body is read and discarded.
	// Otherwise a caller that is still sending would see a connection reset
	// instead of the answer.
	maxDiscardBytes = 64 << 20
	// maxDiscardTime limits the time spent on discarding.
	maxDiscardTime = 2 * time.Second
)

// DiscardBody reads and discards the rest of an unused body, so that its sender
// gets to read the answer.
func DiscardBody(writer http.ResponseWriter, body io.Reader) {
	// Writers without deadlines, such as test recorders, return an error here;
	// then only the byte limit applies.
	_ = http.NewResponseController(writer).SetReadDeadline(time.Now().Add(maxDiscardTime))
	// The sender may stop early or the deadline pass; neither needs handling.
	_, _ = io.CopyN(io.Discard, body, maxDiscardBytes)
}
