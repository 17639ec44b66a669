package measurer

import (
	"context"

	"limpetrail/admitter"
	"limpetrail/classifier"
)

// DirectAdmitter is a baseline to compare admission policies with. It admits every
// online request at once and batch items up to a fixed number, and never preempts.
type DirectAdmitter struct {
	batch chan struct{}
}

var (
	_ admitter.Admitter = (*DirectAdmitter)(nil)
	_ admitter.Place    = (*directPlace)(nil)
)

// NewDirectAdmitter returns an admitter that runs at most that many batch items at
// once.
func NewDirectAdmitter(batchPlaces int) *DirectAdmitter {
	return &DirectAdmitter{batch: make(chan struct{}, batchPlaces)}
}

// Acquire implements admitter.Admitter.
func (direct *DirectAdmitter) Acquire(ctx context.Context, request admitter.PlaceRequest) (admitter.Place, classifier.Outcome) {
	if !request.Batch {
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
func (direct *DirectAdmitter) Report() admitter.Report {
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
