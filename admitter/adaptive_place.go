package admitter

import "time"

// adaptivePlace is a place of Adaptive. Its fields are guarded by the mutex of
// its admitter.
type adaptivePlace struct {
	adaptive *Adaptive
	ticket   Ticket
	// number is higher than that of every earlier place.
	number  uint64
	granted time.Time
	// grantedStep is the admitter's count of engine steps at the grant.
	grantedStep uint64
	// beside is the number of places held right after the grant.
	beside int
	// tokens counts the tokens since the grant.
	tokens int
	// lastStep is the step of the last token.
	lastStep uint64
	// paceBegin is the first token of the run whose pace is measured.
	paceBegin time.Time
	// preempted is closed once, when the place is taken back.
	preempted chan struct{}
	taken     bool
	left      bool
}

var _ Place = (*adaptivePlace)(nil)

// Preempted implements Place.
func (place *adaptivePlace) Preempted() <-chan struct{} { return place.preempted }

// Token implements Place.
func (place *adaptivePlace) Token() {
	place.adaptive.mutex.Lock()
	defer place.adaptive.mutex.Unlock()

	place.adaptive.observe(place, time.Now())
}

// Leave implements Place; further calls do nothing.
func (place *adaptivePlace) Leave() {
	place.adaptive.mutex.Lock()
	defer place.adaptive.mutex.Unlock()

	if !place.left {
		place.left = true
		place.adaptive.leave(place, time.Now())
	}
}

// starting tells whether the engine still owes the first token. After the
// grace a place no longer counts: a plain service reports none.
func (place *adaptivePlace) starting(now time.Time, grace time.Duration) bool {
	return place.tokens == 0 && now.Sub(place.granted) < grace
}
