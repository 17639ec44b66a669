package publisher

import "time"

// Settings bound how the document spreads.
type Settings struct {
	// Watchers is how many processes of a data centre watch the key-value
	// service.
	Watchers int
	// WatchTimeout bounds each watch; a silent one is abandoned then.
	WatchTimeout time.Duration
	// LastPause is the longest mean pause between watches that fail.
	LastPause time.Duration
	// Fanout is how many peers a process tells of a new revision.
	Fanout int
	// Joined is how many peers a starting process asks.
	Joined int
	// Pull is the longest pause between two exchanges with random peers.
	Pull time.Duration
	// Exchange bounds one exchange with a peer.
	Exchange time.Duration
	// Offer is how long a process waits for the document that a peer offered
	// before it asks another one.
	Offer time.Duration
	// Backstop is the mean pause between reads by a process that does not
	// watch.
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
