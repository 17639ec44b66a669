package follower

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// turnInterval is the shortest time between two verifications of a prefix in a fleet
	// whose processes hear each other, which makes two calls a second. turnShare of the bound
	// replaces it where the bound allows fewer calls. With a quarter of the bound, processes
	// that pause before their watches confirmed verifications too late and listed themselves.
	turnInterval = 500 * time.Millisecond
	turnShare    = 1.0 / 6
	// earliestShare and latestShare of the bound limit the time after which a process that
	// hears of no verification makes its own; the rest is for reading and applying the
	// change. The time is random in between, so that processes that stop hearing each
	// other do not call at the same moment.
	earliestShare = 0.6
	latestShare   = 0.7
	// suspectShare of the bound is the longest time after the last verification that a
	// process waits for its watch once it knows of a change.
	suspectShare = 0.8
	// minIntervalShare of the bound is the shortest time between two verifications of one
	// process.
	minIntervalShare = 0.25
	// settleTime is how long a watch that is being answered may take to return a change
	// that is known already. Answers usually take 4 ms; up to a hundred times as long was
	// observed while the service is slow.
	settleTime = 150 * time.Millisecond
	// shareTime is how long a verification is part of the reports to peers. Two reports or
	// more are sent in this time.
	shareTime = time.Second
	// maxStates is the number of past states of a copy that are compared with the
	// verifications of peers.
	maxStates = 1024
	// maxHeard is the number of peers' verifications that are kept until the watch has
	// delivered the state that they found.
	maxHeard = 16
)

// verification decides when a follower lists its prefix in addition to its watch. It knows
// the states that the copy went through; a list that shows one of them proves that the copy
// was complete when the list was requested. Its methods may be called concurrently.
type verification struct {
	// within is the bound for the detection of a change; 0 for no verification.
	within time.Duration
	// turns returns how many turns after a process's verification this process has its
	// own, or 0 if the two do not hear each other; nil without peers.
	turns func(peer string) int

	mutex sync.Mutex
	// verifiedAt is the latest time at which the copy is known to have been complete.
	verifiedAt time.Time
	// own is this process's last verification.
	own finding
	// attempted is when this process last requested a list.
	attempted time.Time
	// latest is the newest verification in the fleet, and turnAt is the turn of this process
	// that follows from it; zero without peers.
	latest, turnAt time.Time
	// limitShare is the share of the bound after which this process verifies by itself.
	limitShare float64
	heard      []finding

	states map[uint64]bool
	// order holds the states from the oldest to the newest.
	order []uint64

	// suspectedAt is when a change became known that the copy does not contain; zero if
	// there is none. A list reveals it (suspect, if listed is true), which a peer made if
	// suspectHeard is true, or a peer's revision (suspectRevision).
	suspectedAt     time.Time
	suspect         finding
	listed          bool
	suspectHeard    bool
	suspectRevision uint64
	// watchingSince is when the watch that is waiting now began; zero if none waits.
	watchingSince time.Time
}

func newVerification() *verification {
	return &verification{states: map[uint64]bool{}, limitShare: randomShare()}
}

func randomShare() float64 {
	return earliestShare + (latestShare-earliestShare)*rand.Float64()
}

// share returns a share of the bound.
func (verification *verification) share(part float64) time.Duration {
	return time.Duration(part * float64(verification.within))
}

// recordState records that the copy has reached a state.
func (verification *verification) recordState(digest uint64) {
	verification.mutex.Lock()
	defer verification.mutex.Unlock()

	if verification.states[digest] {
		return
	}

	verification.states[digest] = true
	verification.order = append(verification.order, digest)

	if len(verification.order) > maxStates {
		delete(verification.states, verification.order[0])
		verification.order = verification.order[1:]
	}

	remaining := verification.heard[:0]

	for _, found := range verification.heard {
		if found.digest == digest {
			verification.confirm(found.at)
		} else {
			remaining = append(remaining, found)
		}
	}

	verification.heard = remaining

	if verification.listed && verification.suspect.digest == digest {
		verification.confirm(verification.suspect.at)
		verification.clearSuspicion()
	}
}

// confirm records that the copy was complete at a time. The caller holds the mutex.
func (verification *verification) confirm(at time.Time) {
	if at.After(verification.verifiedAt) {
		verification.verifiedAt = at
		verification.limitShare = randomShare()
	}
}

func (verification *verification) clearSuspicion() {
	verification.suspectedAt, verification.suspectRevision = time.Time{}, 0
	verification.suspect, verification.listed, verification.suspectHeard = finding{}, false, false
}

// recordAttempt records that this process requests a list.
func (verification *verification) recordAttempt(now time.Time) {
	verification.mutex.Lock()
	defer verification.mutex.Unlock()

	verification.attempted = now
}

// recordApplied records a list that replaced the copy. It is consistent if it shows one state of
// the service.
func (verification *verification) recordApplied(at time.Time, digest uint64, consistent bool) {
	verification.mutex.Lock()
	missed := consistent && !verification.suspectHeard && !verification.verifiedAt.IsZero() && !verification.states[digest]
	verification.mutex.Unlock()

	verification.recordState(digest)

	verification.mutex.Lock()
	defer verification.mutex.Unlock()

	verification.recordOwn(finding{at: at, digest: digest, missed: missed})
	verification.confirm(at)
	verification.clearSuspicion()
}

// recordListed records a list that was requested beside the watch, and tells whether it shows
// a state of the copy.
func (verification *verification) recordListed(at time.Time, digest uint64, now time.Time) bool {
	verification.mutex.Lock()
	defer verification.mutex.Unlock()

	found := finding{at: at, digest: digest}
	verification.recordOwn(found)

	if verification.states[digest] {
		verification.confirm(at)

		return true
	}

	if verification.suspectedAt.IsZero() {
		verification.suspectedAt = now
	}

	verification.suspect, verification.listed, verification.suspectHeard = found, true, false

	return false
}

// recordOwn records this process's verification. The caller holds the mutex.
func (verification *verification) recordOwn(found finding) {
	verification.own = found
	if found.at.After(verification.latest) {
		verification.latest = found.at
		verification.turnAt = verification.turnAfter("", found.at)
	}
}

// turnAfter returns this process's turn after a verification of a peer, or of its own if
// peer is empty. The caller holds the mutex.
func (verification *verification) turnAfter(peer string, at time.Time) time.Time {
	if verification.turns == nil {
		return time.Time{}
	}

	count := verification.turns(peer)
	if count == 0 {
		return time.Time{}
	}

	return at.Add(time.Duration(count) * max(turnInterval, verification.share(turnShare)))
}

// recordPeer records a peer's verification.
func (verification *verification) recordPeer(peer string, heard Verification, now time.Time) {
	verification.mutex.Lock()
	defer verification.mutex.Unlock()

	found := finding{at: now.Add(-max(0, heard.Age)), digest: heard.Digest}
	if found.at.After(verification.latest) {
		verification.latest = found.at
		verification.turnAt = verification.turnAfter(peer, found.at)
	}

	switch {
	case verification.states[found.digest]:
		verification.confirm(found.at)
	case found.at.After(verification.verifiedAt):
		if heard.Missed && verification.suspectedAt.IsZero() {
			verification.suspectedAt, verification.suspect = now, found
			verification.listed, verification.suspectHeard = true, true
		}

		verification.heard = append(verification.heard, found)
		if len(verification.heard) > maxHeard {
			verification.heard = verification.heard[1:]
		}
	}
}

// recordRevisions records the newest revision that the copy contains and the newest one that
// a peer saw.
func (verification *verification) recordRevisions(known, heard uint64, now time.Time) {
	verification.mutex.Lock()
	defer verification.mutex.Unlock()

	if !verification.listed && known >= verification.suspectRevision {
		verification.clearSuspicion()
	}

	if verification.suspectedAt.IsZero() && heard > known {
		verification.suspectedAt, verification.suspectRevision = now, heard
	}
}

// setWatching records whether a watch waits for changes.
func (verification *verification) setWatching(since time.Time) {
	verification.mutex.Lock()
	defer verification.mutex.Unlock()

	verification.watchingSince = since
}

// hasMissed tells whether the copy lacks a known change that the watch had time to return.
func (verification *verification) hasMissed(now time.Time) bool {
	verification.mutex.Lock()
	defer verification.mutex.Unlock()

	if verification.suspectedAt.IsZero() {
		return false
	}

	since := verification.suspectedAt
	if verification.watchingSince.After(since) {
		since = verification.watchingSince
	}

	return !verification.watchingSince.IsZero() && now.Sub(since) >= settleTime ||
		now.Sub(verification.suspectedAt) >= settleTime && now.Sub(verification.verifiedAt) >= verification.share(suspectShare)
}

// isDue tells whether this process should list its prefix now.
func (verification *verification) isDue(now time.Time) bool {
	verification.mutex.Lock()
	defer verification.mutex.Unlock()

	if now.Sub(verification.attempted) < verification.share(minIntervalShare) {
		return false
	}

	// The peers rely on this process's turn, also if it knows that its copy lacks a change.
	if !verification.turnAt.IsZero() && !now.Before(verification.turnAt) {
		return true
	}

	// A suspected copy is listed once its watch had time to return the change.
	return verification.suspectedAt.IsZero() && now.Sub(verification.verifiedAt) >= verification.share(verification.limitShare)
}

// current returns this process's verification, if it is recent enough to be reported.
func (verification *verification) current(now time.Time) (Verification, bool) {
	verification.mutex.Lock()
	defer verification.mutex.Unlock()

	age := now.Sub(verification.own.at)

	return Verification{Age: age, Digest: verification.own.digest, Missed: verification.own.missed}, !verification.own.at.IsZero() && age <= shareTime
}

// lastVerified returns the latest time at which the copy is known to have been complete.
func (verification *verification) lastVerified() time.Time {
	verification.mutex.Lock()
	defer verification.mutex.Unlock()

	return verification.verifiedAt
}
