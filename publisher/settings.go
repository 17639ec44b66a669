package publisher

import "time"

// Settings control how the document is distributed.
type Settings struct {
	// Watchers is how many processes of a data centre watch the key-value
	// service.
	Watchers int
	// WatchTimeout is the deadline of each watch, after which an unanswered one is
	// abandoned.
	WatchTimeout time.Duration
	// LastPause is the longest mean backoff between failed watches.
	LastPause time.Duration
	// Fanout is how many peers a process notifies of a new revision.
	Fanout int
	// Joined is how many peers a starting process asks for the document.
	Joined int
	// Pull is the longest pause between two exchanges with random peers.
	Pull time.Duration
	// Exchange is the deadline of one exchange with a peer, and of one backstop
	// read.
	Exchange time.Duration
	// Offer is how long a process waits for a document that it asked a peer for
	// before it asks another peer.
	Offer time.Duration
	// Backstop is the mean pause between reads of the key-value service by a
	// process that does not watch it.
	Backstop time.Duration
	// Membership is the mean pause between reads of the instance list.
	Membership time.Duration
}

// DefaultSettings returns the settings of every process.
func DefaultSettings() Settings {
	return Settings{
		Watchers:     3,
		WatchTimeout: 25 * time.Second,
		LastPause:    3 * time.Second,
		Fanout:       6,
		Joined:       5,
		Pull:         3 * time.Second,
		Exchange:     time.Second,
		Offer:        500 * time.Millisecond,
		Backstop:     15 * time.Minute,
		Membership:   2 * time.Minute,
	}
}
