package admitter

import (
	"context"
	"sync"
	"time"

	"limpetrail/classifier"
)

// fixedRetryAfter is the retry time in the refusals of Fixed.
const fixedRetryAfter = time.Second

// Fixed admits up to a fixed number of requests, online and batch alike, in
// order of arrival. It is the baseline that other admitters are measured
// against.
type Fixed struct {
	slots chan struct{}

	mutex  sync.Mutex
	report Report
}

var (
	_ Admitter = (*Fixed)(nil)
	_ Place    = (*fixedPlace)(nil)
)

// NewFixed returns an admitter with the given number of places.
func NewFixed(places int) *Fixed {
	return &Fixed{slots: make(chan struct{}, places), report: Report{Limit: places}}
}

// Acquire implements Admitter.
func (fixed *Fixed) Acquire(ctx context.Context, request PlaceRequest) (Place, classifier.Outcome) {
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()

	select {
	case fixed.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, classifier.NewNotRun("no place at the backend server in time", fixedRetryAfter)
	}

	fixed.addRunning(request.Batch, 1)

	return &fixedPlace{fixed: fixed, batch: request.Batch}, classifier.Outcome{}
}

// Report implements Admitter.
func (fixed *Fixed) Report() Report {
	fixed.mutex.Lock()
	defer fixed.mutex.Unlock()

	report := fixed.report
	report.BatchCapacity = cap(fixed.slots) - len(fixed.slots)

	return report
}

func (fixed *Fixed) addRunning(batch bool, change int) {
	fixed.mutex.Lock()
	defer fixed.mutex.Unlock()

	if batch {
		fixed.report.RunningBatch += change
	} else {
		fixed.report.RunningOnline += change
	}
}

type fixedPlace struct {
	fixed *Fixed
	batch bool
}

// Preempted implements Place; a fixed place is never preempted.
func (place *fixedPlace) Preempted() <-chan struct{} { return nil }

// RecordToken implements Place.
func (place *fixedPlace) RecordToken() {}

// Release implements Place.
func (place *fixedPlace) Release() {
	place.fixed.addRunning(place.batch, -1)
	<-place.fixed.slots
}
