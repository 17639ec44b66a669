package keeper

import (
	"context"
	"time"

	"github.com/juju/errors"
	"golang.org/x/time/rate"
)

// budgetPoll is how often a waiting call looks for room in the budget.
const budgetPoll = 10 * time.Millisecond

// Budget bounds a process's calls a second. Calls of a lower priority leave a
// part of the burst to those of higher ones.
type Budget struct {
	limiter *rate.Limiter
}

// NewBudget returns a budget of that many calls a second and calls at once.
func NewBudget(perSecond float64, burst int) *Budget {
	return &Budget{limiter: rate.NewLimiter(rate.Limit(perSecond), burst)}
}

// Take waits for room for one call, or for the context's end.
func (budget *Budget) Take(ctx context.Context) error {
	reserve := budget.reserve(priorityOf(ctx))

	for !budget.allow(reserve) {
		select {
		case <-time.After(budgetPoll):
		case <-ctx.Done():
			return errors.QuotaLimitExceededf("budget for calls of the key-value service")
		}
	}

	return nil
}

// reserve returns the calls that a priority leaves to higher ones: none, a
// quarter or a half of the burst.
func (budget *Budget) reserve(priority Priority) float64 {
	const quarters = 4

	return float64(budget.limiter.Burst()) * float64(priority) / quarters
}

func (budget *Budget) allow(reserve float64) bool {
	return budget.limiter.Tokens() >= reserve+1 && budget.limiter.Allow()
}
