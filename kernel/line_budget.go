package kernel

import (
	"sync"
	"time"
)

// LineBudget bounds log lines of one kind that many callers would write at once:
// one an interval, which says how many it stands for.
type LineBudget struct {
	Interval time.Duration

	mutex sync.Mutex
	// next is when the next line may be written.
	next time.Time
	// left counts what was not written since the last line.
	left int
}

// NewLineBudget returns a budget of one line an interval.
func NewLineBudget(interval time.Duration) *LineBudget {
	return &LineBudget{Interval: interval}
}

// Take returns how many events the next line stands for, or 0 for no line.
func (budget *LineBudget) Take() int {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()

	budget.left++

	now := time.Now()
	if now.Before(budget.next) {
		return 0
	}

	represented := budget.left
	budget.left, budget.next = 0, now.Add(budget.Interval)

	return represented
}
