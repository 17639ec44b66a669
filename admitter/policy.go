package admitter

import (
	"time"

	"limpetrail/editor"
)

// Policy is what the operators' document says about admission.
type Policy struct {
	// FirstToken is the wanted time to the first token for 95 in 100.
	FirstToken time.Duration
	// TokenInterval is the wanted time between tokens for 95 in 100.
	TokenInterval time.Duration
	// Reserve is the share of the engine kept free of batch, 0 to 1.
	Reserve float64
	// MaxWait bounds the time that an online request waits for a place.
	MaxWait time.Duration
	// Shares are the weights of the firms; a firm without one has 1.
	Shares map[string]int
}

// DefaultPolicy is in force until the document's policy is known.
func DefaultPolicy() Policy {
	return Policy{
		FirstToken:    1400 * time.Millisecond,
		TokenInterval: 37 * time.Millisecond,
		Reserve:       0.1,
		MaxWait:       500 * time.Millisecond,
	}
}

// NewPolicy returns the policy of a document. Fields that are zero there keep
// their defaults, except Reserve, where zero is a choice.
func NewPolicy(policy editor.Policy, firms []editor.Firm) Policy {
	made := DefaultPolicy()
	made.Reserve = min(1, max(0, policy.Reserve))
	made.Shares = make(map[string]int, len(firms))

	for _, firm := range firms {
		made.Shares[firm.Name] = firm.Share
	}

	replace(&made.FirstToken, policy.FirstToken)
	replace(&made.TokenInterval, policy.TokenInterval)
	replace(&made.MaxWait, policy.MaxWait)

	return made
}

func replace(value *time.Duration, from editor.Duration) {
	if from > 0 {
		*value = time.Duration(from)
	}
}

// share returns the firm's weight, at least 1.
func (policy Policy) share(firm string) float64 {
	return float64(max(1, policy.Shares[firm]))
}
