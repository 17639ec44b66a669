package retrier

import "sync"

// Budget is a token bucket that limits retries: each success adds tokens and each
// retry takes one. Retries are therefore at most Burst plus a fixed share of the
// successes, so that they do not multiply the load in a long outage.
type Budget struct {
	// TokensPerSuccess is the number of tokens that one success adds.
	TokensPerSuccess float64
	// Burst is the maximum number of tokens; a new budget holds that many.
	Burst float64

	mutex sync.Mutex
	// tokens lies between 0 and Burst.
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget(tokensPerSuccess, burst float64) *Budget {
	return &Budget{TokensPerSuccess: tokensPerSuccess, Burst: burst, tokens: burst}
}

// RecordSuccess adds the tokens of one success.
func (budget *Budget) RecordSuccess() {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()

	budget.tokens = min(budget.tokens+budget.TokensPerSuccess, budget.Burst)
}

// AllowRetry takes the token for one retry. It returns false, and takes nothing, if the
// budget is exhausted.
func (budget *Budget) AllowRetry() bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()

	if budget.tokens < 1 {
		return false
	}

	budget.tokens--

	return true
}
