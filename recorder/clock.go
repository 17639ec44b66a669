package recorder

import (
	"sync"
	"time"
)

// logicalBits is the width of the counter in a Stamp.
const logicalBits = 16

// Stamp is a reading of a hybrid logical clock: milliseconds since the Unix
// epoch in the upper 48 bits, a counter in the lower 16 (Kulkarni et al.,
// "Logical Physical Clocks", 2014).
type Stamp uint64

// Time returns the physical part of the stamp.
func (stamp Stamp) Time() time.Time {
	return time.UnixMilli(int64(stamp >> logicalBits)).UTC()
}

// Clock is a hybrid logical clock. It orders events and settles nothing else:
// no decision compares the wall clocks of two instances.
type Clock struct {
	mutex sync.Mutex
	// last never decreases.
	last Stamp
}

// NewClock returns a clock at the present time.
func NewClock() *Clock {
	return &Clock{}
}

// Now returns a stamp higher than every one returned or observed before.
func (clock *Clock) Now() Stamp {
	clock.mutex.Lock()
	defer clock.mutex.Unlock()

	return clock.advance()
}

// Observe takes in a stamp from a message of another process. A stamp more
// than maxSkew ahead is ignored, so that one broken wall clock cannot push
// the clocks of the whole fleet into the future.
func (clock *Clock) Observe(remote Stamp) {
	clock.mutex.Lock()
	defer clock.mutex.Unlock()

	if remote > clock.last && time.Until(remote.Time()) < maxSkew {
		clock.last = remote
	}
}

// maxSkew is the largest lead of a remote wall clock that is believed.
const maxSkew = time.Minute

func (clock *Clock) advance() Stamp {
	physical := Stamp(time.Now().UnixMilli()) << logicalBits
	clock.last = max(clock.last+1, physical)

	return clock.last
}
