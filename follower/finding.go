package follower

import "time"

// Verification is what a process found when it listed a prefix.
type Verification struct {
	// Age is the time since the list was requested.
	Age time.Duration
	// Digest identifies the keys and revisions in the list.
	Digest uint64
	// Missed tells that the list showed a change which the process's watch had missed, so that
	// those of others may have missed it too. Lists that were requested because a peer said
	// so, or that may mix two states, do not say it.
	Missed bool `json:",omitempty"`
}

// finding is a verification with the time of its request on this process's clock.
type finding struct {
	at     time.Time
	digest uint64
	missed bool
}
