package dispatcher

import (
	"crypto/rand"
	"encoding/hex"
	"strings"
)

const requestIDBytes = 12

// NewRequestID returns a new ID without a replica.
func NewRequestID() string {
	bytes := make([]byte, requestIDBytes)
	// crypto/rand.Read never fails.
	_, _ = rand.Read(bytes)

	return hex.EncodeToString(bytes)
}

// AttemptID names the attempt of a request at a replica. Any entry finds the
// answer again from it, with no shared index.
func AttemptID(requestID, replica string) string {
	return requestID + "." + replica
}

// SplitAttemptID returns the parts of AttemptID.
func SplitAttemptID(id string) (requestID, replica string, valid bool) {
	return strings.Cut(id, ".")
}
