package pacer

import "time"

const (
	// minRetryShare is the minimum share of the freed places that is kept for retrying
	// callers, even if new ones would take more than all of them.
	minRetryShare = 0.05
	// minRetryAfter is the shortest time before a retry: a place takes longer to become
	// free than a connection takes to be made.
	minRetryAfter = 50 * time.Millisecond
	// The maximum time before a retry rises from initialMaxRetryAfter to maxRetryAfter. In
	// between it is overloadFactor times the age of the overload: one that has lasted for
	// some time is expected to last about as long again.
	initialMaxRetryAfter = 2 * time.Second
	maxRetryAfter        = 30 * time.Second
	overloadFactor       = 2
	// overloadEnd is the time without a refusal after which an overload is over.
	overloadEnd = time.Second
)

// ServiceLoad is the load of a service when a caller is refused.
type ServiceLoad struct {
	// QueueWait is how long it takes until a place is free behind the queued work.
	QueueWait time.Duration
	// Runs is how many runs end for this entry, each of the length RunDuration.
	Runs        int
	RunDuration time.Duration
	// AllowedPerSecond is how many requests a second this entry may send to the servers that
	// name a limit.
	AllowedPerSecond float64
}

// Pacer assigns retry times to the refused callers of a service at one entry. It spaces them
// at the rate at which places become free that new callers don't take.
type Pacer struct {
	arrivals arrivals
	// latest is the latest retry time that was assigned.
	latest time.Time
	// overloadStart is when the overload began, lastRefusal when a caller was last
	// refused.
	overloadStart, lastRefusal time.Time
}

// RecordArrival records a new caller, one that was not refused before.
func (pacer *Pacer) RecordArrival(now time.Time) {
	pacer.arrivals.add(now)
}

// NextRetryAfter returns the time after which a refused caller may retry.
func (pacer *Pacer) NextRetryAfter(now time.Time, load ServiceLoad) time.Duration {
	if now.Sub(pacer.lastRefusal) > overloadEnd {
		pacer.overloadStart = now
	}

	pacer.lastRefusal = now
	pacer.latest = laterOf(pacer.latest.Add(pacer.interval(now, load)), now.Add(max(minRetryAfter, load.QueueWait)))

	longest := min(maxRetryAfter, max(initialMaxRetryAfter, overloadFactor*now.Sub(pacer.overloadStart)))
	if pacer.latest.Sub(now) > longest {
		pacer.latest = now.Add(longest)
	}

	return pacer.latest.Sub(now)
}

// interval returns the time between two retrying callers.
func (pacer *Pacer) interval(now time.Time, load ServiceLoad) time.Duration {
	runDuration := max(load.RunDuration, time.Millisecond).Seconds()

	freed := float64(load.Runs)/runDuration + load.AllowedPerSecond
	if freed == 0 {
		freed = 1 / runDuration
	}

	forRetries := max(minRetryShare*freed, freed-pacer.arrivals.rate(now))

	return time.Duration(float64(time.Second) / forRetries)
}

// IsRetry reports whether a request is a retry by a caller that was refused before, judged by
// how much of its time the caller has used.
func IsRetry(elapsed time.Duration) bool {
	return elapsed >= minRetryAfter
}

// Reset discards the assigned retry times. It is called when a place was free at once, so
// that the estimate behind them no longer holds.
func (pacer *Pacer) Reset() {
	pacer.latest = time.Time{}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
}
