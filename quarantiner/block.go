package quarantiner

import (
	"time"
)

// Block is why a request may not be sent.
type Block struct {
	// Part is the part of the prompt for which the request is blocked.
	Part string
	// Quarantined is false if the part is only being run for the first time.
	Quarantined bool
	// RetryAfter is when a request with the part may be sent again at the earliest.
	RetryAfter time.Duration
}
