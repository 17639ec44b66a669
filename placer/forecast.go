package placer

import (
	"slices"
	"time"
)

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

// forecast returns how long new work waits behind others, given how long the
// runs of this entry still last: the load of a peak that exceeds all places, and
// of callers who all come back at one moment, when no place becomes free until
// the first runs end.
func forecast(left []time.Duration, ahead int, stay time.Duration) time.Duration {
	if len(left) == 0 {
		return stay * time.Duration(ahead+1)
	}

	slices.Sort(left)

	// Whoever is ahead of others takes a place for a whole run.
	return left[ahead%len(left)] + stay*time.Duration(ahead/len(left))
}

// leastLeft is the part of a usual run that any run is taken to last still.
const leastLeft = 0.125

// left returns how long a run of that age still lasts. One that has outlived the
// usual length lasts about as long again as it has outlived it.
func left(age, stay time.Duration) time.Duration {
	least := time.Duration(leastLeft * float64(stay))
	if age < stay {
		return max(least, stay-age)
	}

	return max(least, age-stay)
}
