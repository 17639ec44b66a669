package retrier

import "sync"

// Budget is a token bucket that successes fill and repeated attempts empty. In
// a lasting outage repeats are therefore at most the share of the successes,
// and an outage is not multiplied by them.
type Budget struct {
	// Share is what one success earns, in attempts.
	Share float64
	// Burst is the most that can be saved up, and what a new budget holds.
	Burst float64

	mutex sync.Mutex
	// tokens lies between 0 and Burst.
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget(share, burst float64) *Budget {
	return &Budget{Share: share, Burst: burst, tokens: burst}
}

// Earn takes in a success.
func (budget *Budget) Earn() {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()

	budget.tokens = min(budget.tokens+budget.Share, budget.Burst)
}

// Spend takes one attempt from the budget; false means that it is spent.
func (budget *Budget) Spend() bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()

	if budget.tokens < 1 {
		return false
	}

	budget.tokens--

	return true
}
