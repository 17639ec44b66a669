package exchanger

import (
	"time"

	"github.com/juju/errors"
)

// Limits bound what one answer of a backend server may take. What goes beyond
// them is no answer, and its connection is closed.
type Limits struct {
	// HeadBytes bounds the head of an answer, with those before it that only
	// announce it.
	HeadBytes int
	// Announcements is how many answers may announce another one.
	Announcements int
	// BodyBytes bounds the body.
	BodyBytes int
	// EventBytes bounds an event of a stream.
	EventBytes int
	// PartTime is the longest time from the first byte of a head, or of a part of
	// a body, to its last.
	PartTime time.Duration
}

const (
	// defaultHeadBytes is what common servers take as a head.
	defaultHeadBytes     = 64 << 10
	defaultAnnouncements = 16
	defaultBodyBytes     = 64 << 20
	// defaultEventBytes holds many tokens; a few hundred unfinished events have
	// to fit into a small process.
	defaultEventBytes = 64 << 10
	// defaultPartTime is longer than it takes to send a lost packet again.
	defaultPartTime = time.Second
)

// DefaultLimits are the limits where the settings say nothing else.
func DefaultLimits() Limits {
	return Limits{
		HeadBytes:     defaultHeadBytes,
		Announcements: defaultAnnouncements,
		BodyBytes:     defaultBodyBytes,
		EventBytes:    defaultEventBytes,
		PartTime:      defaultPartTime,
	}
}

// ErrTooLong is the cause of an answer that goes beyond the limits.
var ErrTooLong = errors.NotValidf("answer beyond the limits")
