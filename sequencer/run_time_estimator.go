package sequencer

import (
	"sync"
	"time"
)

const (
	// initialEstimate is about how long an item runs. It is used until one has completed.
	initialEstimate = 5 * time.Second
	// smoothing is the weight of a new value in the moving averages.
	smoothing = 0.1
	// minEvents is the number of events from which an attempt is measured. In shorter
	// ones, the processing of the prompt takes too large a share of the time.
	minEvents = 10
	// minRemainingShare is the minimum remainder of an item, as a share of a mean item.
	// It applies to items that have produced almost as many events as the mean, or more.
	minRemainingShare = 0.1
)

// RunTimeEstimator estimates how long items still run, from moving averages over earlier items.
type RunTimeEstimator struct {
	mutex sync.Mutex
	// meanEvents is the mean number of events of completed items; 0 before the first.
	meanEvents float64
	// meanInterval is the mean time between two events; 0 if unknown.
	meanInterval time.Duration
}

// NewRunTimeEstimator returns an estimator without any measurements.
func NewRunTimeEstimator() *RunTimeEstimator {
	return &RunTimeEstimator{}
}

// RecordAttempt records the number of events and the duration of an attempt.
func (estimator *RunTimeEstimator) RecordAttempt(events int, duration time.Duration) {
	if events < minEvents {
		return
	}

	estimator.mutex.Lock()
	defer estimator.mutex.Unlock()

	interval := duration / time.Duration(events)
	if estimator.meanInterval == 0 {
		estimator.meanInterval = interval
	}

	estimator.meanInterval += time.Duration(smoothing * float64(interval-estimator.meanInterval))
}

// RecordCompletedItem records the number of events of a completed item.
func (estimator *RunTimeEstimator) RecordCompletedItem(events int) {
	estimator.mutex.Lock()
	defer estimator.mutex.Unlock()

	if estimator.meanEvents == 0 {
		estimator.meanEvents = float64(events)
	}

	estimator.meanEvents += smoothing * (float64(events) - estimator.meanEvents)
}

// Remaining estimates how long an item still runs that has produced this many events.
func (estimator *RunTimeEstimator) Remaining(events int) time.Duration {
	estimator.mutex.Lock()
	defer estimator.mutex.Unlock()

	if estimator.meanEvents == 0 || estimator.meanInterval == 0 {
		return initialEstimate
	}

	return time.Duration(max(minRemainingShare*estimator.meanEvents, estimator.meanEvents-float64(events)) * float64(estimator.meanInterval))
}
