package keeper

import (
	"context"
	"time"

	"github.com/juju/errors"
	"golang.org/x/time/rate"
)

// budgetPollInterval is how often a waiting call checks the budget.
const budgetPollInterval = 10 * time.Millisecond

// Budget limits the rate of a process's calls. Calls of a lower priority leave a
// part of the burst to those of higher priorities.
type Budget struct {
	limiter *rate.Limiter
}

// NewBudget returns a budget with the given calls per second and burst.
func NewBudget(perSecond float64, burst int) *Budget {
	return &Budget{limiter: rate.NewLimiter(rate.Limit(perSecond), burst)}
}

// Wait blocks until the budget allows one call, or the context ends.
func (budget *Budget) Wait(ctx context.Context) error {
	reserved := budget.reservedCalls(priorityFrom(ctx))

	for !budget.tryAcquire(reserved) {
		select {
		case <-time.After(budgetPollInterval):
		case <-ctx.Done():
			return errors.QuotaLimitExceededf("budget for calls of the key-value service")
		}
	}

	return nil
}

// reservedCalls returns how many calls a priority leaves to higher ones: none, a
// quarter or a half of the burst.
func (budget *Budget) reservedCalls(priority Priority) float64 {
	const quarters = 4

	return float64(budget.limiter.Burst()) * float64(priority) / quarters
}

func (budget *Budget) tryAcquire(reserved float64) bool {
	return budget.limiter.Tokens() >= reserved+1 && budget.limiter.Allow()
}
