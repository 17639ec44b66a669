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

// Clock is a hybrid logical clock. It only orders events; no decision depends on
// comparing the wall clocks of two instances.
type Clock struct {
	mutex sync.Mutex
	// last is the highest stamp returned or observed.
	last Stamp
}

// NewClock returns a clock that has issued no stamp.
func NewClock() *Clock {
	return &Clock{}
}

// Now returns a stamp higher than any that was returned or observed before.
func (clock *Clock) Now() Stamp {
	clock.mutex.Lock()
	defer clock.mutex.Unlock()

	return clock.advance()
}

// Observe advances the clock to a stamp from another process's message. It
// ignores a stamp more than maxSkew ahead, so that one wrong wall clock cannot
// move the clocks of the whole fleet into the future.
func (clock *Clock) Observe(remote Stamp) {
	clock.mutex.Lock()
	defer clock.mutex.Unlock()

	if remote > clock.last && time.Until(remote.Time()) < maxSkew {
		clock.last = remote
	}
}

// maxSkew is how far a remote stamp may be ahead of the local wall clock.
const maxSkew = time.Minute

func (clock *Clock) advance() Stamp {
	physical := Stamp(time.Now().UnixMilli()) << logicalBits
	clock.last = max(clock.last+1, physical)

	return clock.last
}
