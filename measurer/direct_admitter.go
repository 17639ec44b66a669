package measurer

import (
	"context"

	"limpetrail/admitter"
	"limpetrail/classifier"
)

// Direct is a baseline: online requests go to the engine as they come, and
// batch items do up to a fixed number. It takes nothing back.
type Direct struct {
	batch chan struct{}
}

var (
	_ admitter.Admitter = (*Direct)(nil)
	_ admitter.Place    = (*directPlace)(nil)
)

// NewDirect returns an admitter that runs up to that many batch items.
func NewDirect(batchPlaces int) *Direct {
	return &Direct{batch: make(chan struct{}, batchPlaces)}
}

// Acquire implements admitter.Admitter.
func (direct *Direct) Acquire(ctx context.Context, ticket admitter.PlaceRequest) (admitter.Place, classifier.Outcome) {
	if !ticket.Batch {
		return &directPlace{}, classifier.Outcome{}
	}

	select {
	case direct.batch <- struct{}{}:
		return &directPlace{batch: direct.batch}, classifier.Outcome{}
	case <-ctx.Done():
		return nil, classifier.NewNotRun("cancelled", 0)
	}
}

// Report implements admitter.Admitter.
func (direct *Direct) Report() admitter.Report {
	return admitter.Report{RunningBatch: len(direct.batch)}
}

type directPlace struct {
	// batch is nil for online requests.
	batch chan struct{}
}

// Preempted implements admitter.Place.
func (place *directPlace) Preempted() <-chan struct{} { return nil }

// RecordToken implements admitter.Place.
func (place *directPlace) RecordToken() {}

// Release implements admitter.Place.
func (place *directPlace) Release() {
	if place.batch != nil {
		<-place.batch
	}
}
