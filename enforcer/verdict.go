package enforcer

import "time"

// Verdict is the decision about one request.
type Verdict struct {
	Admitted bool
	// RetryAfter is how long the caller of a refused request should wait.
	RetryAfter time.Duration
}
