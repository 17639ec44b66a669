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

// withFailure returns the outage with a further call that began at that time and failed. An
// outage that has ended is replaced by a new one.
func (outage Outage) withFailure(began time.Time) Outage {
	if !outage.End.IsZero() || began.After(outage.LastFailure) {
		return Outage{LastFailure: began}
	}

	return outage
}
