package dispatcher

import (
	"crypto/rand"
	"encoding/hex"
	"strings"
)

const requestIDBytes = 12

// NewRequestID returns a random request ID. It names no replica yet.
func NewRequestID() string {
	bytes := make([]byte, requestIDBytes)
	// crypto/rand.Read never fails.
	_, _ = rand.Read(bytes)

	return hex.EncodeToString(bytes)
}

// AttemptID returns the ID of a request's attempt at a replica. It contains the
// replica's name, so that any entry can find the answer without a shared index.
func AttemptID(requestID, replica string) string {
	return requestID + "." + replica
}

// SplitAttemptID splits an attempt ID into its request ID and replica name.
func SplitAttemptID(id string) (requestID, replica string, valid bool) {
	return strings.Cut(id, ".")
}
