package admitter

import (
	"time"

	"limpetrail/editor"
)

// Policy is the admission policy that the operators' document sets.
type Policy struct {
	// FirstToken is the target time to the first token, to be met for 95 in 100
	// requests.
	FirstToken time.Duration
	// TokenInterval is the target time between tokens, to be met for 95 in 100.
	TokenInterval time.Duration
	// Reserve is the share of the engine's capacity kept free of batch items, 0
	// to 1.
	Reserve float64
	// MaxWait is the longest time that an online request waits for a place.
	MaxWait time.Duration
	// Shares are the weights of the firms; a firm without one has weight 1.
	Shares map[string]int
}

// DefaultPolicy returns the policy in force until the document's policy is
// known.
func DefaultPolicy() Policy {
	return Policy{
		FirstToken:    1400 * time.Millisecond,
		TokenInterval: 37 * time.Millisecond,
		Reserve:       0.1,
		MaxWait:       500 * time.Millisecond,
	}
}

// NewPolicy returns the policy of a document. Fields that are zero there get
// their defaults, except Reserve, where zero is a valid value.
func NewPolicy(policy editor.Policy, firms []editor.Firm) Policy {
	result := DefaultPolicy()
	result.Reserve = min(1, max(0, policy.Reserve))
	result.Shares = make(map[string]int, len(firms))

	for _, firm := range firms {
		result.Shares[firm.Name] = firm.Share
	}

	overrideIfSet(&result.FirstToken, policy.FirstToken)
	overrideIfSet(&result.TokenInterval, policy.TokenInterval)
	overrideIfSet(&result.MaxWait, policy.MaxWait)

	return result
}

func overrideIfSet(value *time.Duration, from editor.Duration) {
	if from > 0 {
		*value = time.Duration(from)
	}
}

// weight returns the firm's weight, at least 1.
func (policy Policy) weight(firm string) float64 {
	return float64(max(1, policy.Shares[firm]))
}
