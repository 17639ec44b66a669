package exchanger

import (
	"time"

	"github.com/juju/errors"
)

// Limits bound one answer of a backend server in bytes and time. An answer that exceeds
// them is treated as a failure and its connection is closed.
type Limits struct {
	// HeadBytes bounds the head of an answer, including the informational answers
	// before it.
	HeadBytes int
	// Announcements is how many informational answers (1xx) may come before the final
	// one.
	Announcements int
	// BodyBytes bounds the body.
	BodyBytes int
	// EventBytes bounds one event of a stream.
	EventBytes int
	// PartTime is the longest time in which the bytes of a head, or of a part of a body, may
	// trickle in. Time in which the server sends nothing does not count, but for trickleGap.
	PartTime time.Duration
}

const (
	// defaultHeadBytes is the limit that common servers have for a head.
	defaultHeadBytes     = 64 << 10
	defaultAnnouncements = 16
	defaultBodyBytes     = 64 << 20
	// defaultEventBytes holds many tokens. A few hundred incomplete events must fit into
	// the memory of a small process.
	defaultEventBytes = 64 << 10
	// defaultPartTime is longer than the retransmission of a lost packet takes.
	defaultPartTime = time.Second
)

// DefaultLimits returns the limits that apply unless the settings change them.
func DefaultLimits() Limits {
	return Limits{
		HeadBytes:     defaultHeadBytes,
		Announcements: defaultAnnouncements,
		BodyBytes:     defaultBodyBytes,
		EventBytes:    defaultEventBytes,
		PartTime:      defaultPartTime,
	}
}

// ErrLimitExceeded is the cause when an answer exceeds the limits.
var ErrLimitExceeded = errors.NotValidf("answer beyond the limits")
