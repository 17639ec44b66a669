package kernel

import (
	"sync"
	"time"
)

// LogLimiter limits how often one kind of log line is written. At most one line
// is written per interval, with the number of events since the line before.
type LogLimiter struct {
	Interval time.Duration

	mutex sync.Mutex
	// nextAllowed is the earliest time of the next line.
	nextAllowed time.Time
	// pending counts the events since the last line.
	pending int
}

// NewLogLimiter returns a limiter that allows one line per interval.
func NewLogLimiter(interval time.Duration) *LogLimiter {
	return &LogLimiter{Interval: interval}
}

// CountEvent counts an event. It returns the number of events that the caller should
// report in a line now, or 0 when no line may be written yet.
func (limiter *LogLimiter) CountEvent() int {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()

	limiter.pending++

	now := time.Now()
	if now.Before(limiter.nextAllowed) {
		return 0
	}

	events := limiter.pending
	limiter.pending, limiter.nextAllowed = 0, now.Add(limiter.Interval)

	return events
}
