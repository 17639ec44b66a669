package keeper

import "time"

// Outage is the last time in which calls to the service kept failing.
type Outage struct {
	// LastFailure is when the last call that failed in it began; zero if there was no outage.
	// The service was not available to this process at that time.
	LastFailure time.Time
	// End is when a call succeeded again; zero while the outage lasts.
	End time.Time
}

// EndedBefore reports whether there was no outage or it ended before the time.
func (outage Outage) EndedBefore(moment time.Time) bool {
	return outage.LastFailure.IsZero() || !outage.End.IsZero() && outage.End.Before(moment)
}

// recordFailure extends the outage by a call that began at that time and failed.
func (outage *Outage) recordFailure(began time.Time) {
	if !outage.End.IsZero() {
		*outage = Outage{}
	}

	if began.After(outage.LastFailure) {
		outage.LastFailure = began
	}
}
