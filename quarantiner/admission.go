package quarantiner

import (
	"hash/fnv"
	"time"

	"limpetrail/kernel"
)

const (
	// trialTimeout is how long a trial may keep other requests with the part waiting.
	trialTimeout = 5 * time.Second
	// trialStagger is the time between the turns of two entries to try a part again. The
	// others have heard of a trial by then.
	trialStagger = 500 * time.Millisecond
	// firstRunPause is when a request that waits for the first run of a part is looked at
	// again; servers begin to answer within about that time.
	firstRunPause = 100 * time.Millisecond
)

// recordAsked records that a request with quarantined subjects came. The mutex must be held.
func (quarantiner *Quarantiner) recordAsked(request Request, now time.Time) {
	if request.Waiting {
		return
	}

	for _, subject := range request.subjects() {
		suspect := quarantiner.suspects[subject]
		if suspect != nil {
			suspect.askedAt = now
		}
	}
}

// check returns the block of a request or, if it may be sent, the quarantined subjects that it
// tries again. The mutex must be held.
func (quarantiner *Quarantiner) check(request Request, now time.Time) (Block, []*suspect, bool) {
	if block, blocked := quarantiner.checkFirstRuns(request, now); blocked {
		return block, nil, true
	}

	longest, tried := Block{}, []*suspect(nil)

	for _, subject := range request.subjects() {
		suspect := quarantiner.suspects[subject]
		if suspect == nil || !quarantiner.isQuarantined(suspect) {
			continue
		}

		turn := quarantiner.turn(suspect, now)
		if request.Waiting {
			turn = kernel.Earliest(turn, suspect.quietReleaseAt().Add(quarantiner.turnDelay(suspect)))
		}

		wait := max(turn.Sub(now), suspect.trialUnderWay().Sub(now))
		if wait <= 0 {
			tried = append(tried, suspect)

			continue
		}

		if wait > longest.RetryAfter {
			longest = Block{Subject: subject, Quarantined: true, RetryAfter: wait}
		}
	}

	if longest.Quarantined {
		quarantiner.refusals.Inc(1)

		return longest, nil, true
	}

	return Block{}, tried, false
}

// checkFirstRuns blocks a patient request while another one is the first to run one of its
// parts, so that a deadly part ends one server and not one for each request of a job. The
// mutex must be held.
func (quarantiner *Quarantiner) checkFirstRuns(request Request, now time.Time) (Block, bool) {
	if !request.Patient {
		return Block{}, false
	}

	for _, part := range request.Parts {
		subject := Subject{Service: request.Service, Part: part}
		if quarantiner.firstRuns[subject] > 0 && !quarantiner.answered.isProven(subject, now) {
			return Block{Subject: subject, RetryAfter: firstRunPause}, true
		}
	}

	return Block{}, false
}

// endFirstRuns no longer counts a run as the first one of parts. The mutex must be held.
func (quarantiner *Quarantiner) endFirstRuns(run *Run) {
	for _, subject := range run.first {
		quarantiner.firstRuns[subject]--
		if quarantiner.firstRuns[subject] <= 0 {
			delete(quarantiner.firstRuns, subject)
		}
	}

	run.first = nil
}

// turn returns when this entry may try a quarantined subject again. A second chance is given by
// whichever entry gets the request, as its caller is waiting.
func (quarantiner *Quarantiner) turn(suspect *suspect, now time.Time) time.Time {
	if suspect.hasSecondChance(now) {
		return suspect.releaseAt(now)
	}

	return suspect.releaseAt(now).Add(quarantiner.turnDelay(suspect))
}

// turnDelay returns how long after the release this entry's turn begins. The entries take
// turns in an order that all compute alike, so that one trial is made, by any that gets a
// request.
func (quarantiner *Quarantiner) turnDelay(suspect *suspect) time.Duration {
	own, before := rankOf(quarantiner.Instance, suspect.subject), 0

	for _, peer := range quarantiner.Peers() {
		if rankOf(peer, suspect.subject) > own {
			before++
		}
	}

	return time.Duration(before) * trialStagger
}

// rankOf orders the entries for a subject by rendezvous hashing.
func rankOf(entry string, subject Subject) uint64 {
	hash := fnv.New64a()
	// Write of a hash never returns an error.
	_, _ = hash.Write([]byte(entry + "\n" + subject.Service + "\n" + subject.Part + subject.Fingerprint))

	return hash.Sum64()
}
