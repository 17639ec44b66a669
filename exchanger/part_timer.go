package exchanger

import "time"

// trickleGap is the longest time between two reads that counts as trickling. A server that sends
// nothing for longer is silent.
const trickleGap = 100 * time.Millisecond

// partTimer measures the time in which the bytes of one part of an answer trickle in. A sound server
// may fall silent within a part and go on, so that silence doesn't count.
type partTimer struct {
	// limit is 0 while no part is measured.
	limit    time.Duration
	trickled time.Duration
	lastRead time.Time
}

func newPartTimer(limit time.Duration, now time.Time) partTimer {
	return partTimer{limit: limit, lastRead: now}
}

// record counts the time since the last read.
func (timer *partTimer) record(now time.Time) {
	if timer.limit == 0 {
		return
	}

	timer.trickled += min(now.Sub(timer.lastRead), trickleGap)
	timer.lastRead = now
}

func (timer *partTimer) exceeded() bool {
	return timer.limit > 0 && timer.trickled > timer.limit
}
