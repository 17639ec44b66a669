package admitter

import "time"

// adaptivePlace is a place granted by Adaptive, whose mutex guards its fields.
type adaptivePlace struct {
	adaptive *Adaptive
	request  PlaceRequest
	// sequence is higher than that of every place granted earlier.
	sequence uint64
	granted  time.Time
	// grantedStep is the admitter's count of engine steps at the grant.
	grantedStep uint64
	// heldAtGrant is the number of places held right after the grant.
	heldAtGrant int
	// tokens counts the tokens since the grant.
	tokens int
	// lastStep is the step of the last token.
	lastStep uint64
	// intervalStart is when the first token of the current run of
	// intervalTokens tokens came.
	intervalStart time.Time
	// preempted is closed once, when the place is preempted; revoked is then
	// set.
	preempted chan struct{}
	revoked   bool
	released  bool
}

var _ Place = (*adaptivePlace)(nil)

// Preempted implements Place.
func (place *adaptivePlace) Preempted() <-chan struct{} { return place.preempted }

// RecordToken implements Place.
func (place *adaptivePlace) RecordToken() {
	place.adaptive.mutex.Lock()
	defer place.adaptive.mutex.Unlock()

	place.adaptive.observeToken(place, time.Now())
}

// Release implements Place; further calls do nothing.
func (place *adaptivePlace) Release() {
	place.adaptive.mutex.Lock()
	defer place.adaptive.mutex.Unlock()

	if !place.released {
		place.released = true
		place.adaptive.release(place, time.Now())
	}
}

// awaitsFirstToken reports whether the engine has yet to produce the first
// token. After the grace period it returns false, since a plain service reports
// no tokens.
func (place *adaptivePlace) awaitsFirstToken(now time.Time, grace time.Duration) bool {
	return place.tokens == 0 && now.Sub(place.granted) < grace
}
