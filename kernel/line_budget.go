package kernel

import (
	"sync"
	"time"
)

// LineBudget limits how often one kind of log line is written. At most one line
// is written per interval, with the number of events since the line before.
type LineBudget struct {
	Interval time.Duration

	mutex sync.Mutex
	// nextAllowed is the earliest time of the next line.
	nextAllowed time.Time
	// pending counts the events since the last line.
	pending int
}

// NewLineBudget returns a limiter that allows one line per interval.
func NewLineBudget(interval time.Duration) *LineBudget {
	return &LineBudget{Interval: interval}
}

// Take counts an event. It returns the number of events that the caller should
// report in a line now, or 0 when no line may be written yet.
func (limiter *LineBudget) Take() int {
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
