package follower

import "time"

// Verification is what a process found when it listed a prefix.
type Verification struct {
	// Age is the time since the list was requested.
	Age time.Duration
	// Digest identifies the keys and revisions in the list.
	Digest uint64
}

// finding is a verification with the time of its request on this process's clock.
type finding struct {
	at     time.Time
	digest uint64
}
