package placer

import "time"

const (
	// initialStay is taken for the length of a run before one has ended.
	initialStay = 500 * time.Millisecond
	// leastRetry is the shortest time to come back after: a place needs longer
	// to become free than a connection to be made.
	leastRetry = 50 * time.Millisecond
	// absentRetry is when a service without a usable server is tried again; a
	// health check takes about as long to find one.
	absentRetry = 500 * time.Millisecond
)

const (
	// returnShare of the places that become free is left to callers who were
	// refused and come back; the rest goes to new arrivals.
	returnShare = 0.3
	// longestRetry is the longest time to come back after: callers who wait
	// five seconds in all honour a third of it.
	longestRetry = 1500 * time.Millisecond
)

// returns gives out times to come back, so that the callers refused in a burst
// do not return as another one.
type returns struct {
	// last is the latest time that was given out.
	last time.Time
}

// next returns when a caller who is refused now may come back.
func (returns *returns) next(now time.Time, wait time.Duration, running int, stay time.Duration) time.Duration {
	step := time.Duration(float64(stay) / returnShare / float64(max(1, running)))

	returns.last = later(returns.last.Add(step), now.Add(wait))
	if returns.last.Sub(now) > longestRetry {
		returns.last = now.Add(longestRetry)
	}

	return max(leastRetry, returns.last.Sub(now))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
}

// forecast returns how long new work waits behind others while places become
// free one after the other: the load of a peak that exceeds all places.
func forecast(running, ahead int, stay time.Duration) time.Duration {
	return stay * time.Duration(ahead+1) / time.Duration(max(1, running))
}
