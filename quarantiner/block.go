package quarantiner

import (
	"time"
)

// Block is why a request may not be sent.
type Block struct {
	// Subject is the part of the prompt, or the request itself, for which it is blocked.
	Subject Subject
	// Quarantined is false if the part is only being run for the first time.
	Quarantined bool
	// RetryAfter is when a request with the subject may be sent again at the earliest.
	RetryAfter time.Duration
}
