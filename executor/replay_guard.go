package executor

import "time"

// epochMask covers the low bits of an epoch, a counter within one incarnation.
// The upper bits identify the incarnation.
const epochMask = 1<<24 - 1

// replayGuard keeps delayed copies of ended requests from starting. It decides
// which epochs a request may carry and how long ended requests are remembered:
// an ID is forgotten only once every epoch that a copy of its request can carry
// is refused. So no delayed copy starts after its answer, refusal or revocation
// was forgotten. It is guarded by the executor's mutex.
type replayGuard struct {
	// incarnation identifies this start of the sidecar; its low bits are zero.
	incarnation uint64
	// newestEpoch is given to new requests; the epoch before it is accepted too,
	// unless there were too many ended requests.
	newestEpoch uint64
	// oldestEpoch is the lowest accepted epoch.
	oldestEpoch uint64
	// epochStarted is when the newest epoch started.
	epochStarted time.Time
	// answers holds the runs whose answers are kept, ordered by their end.
	answers []retainedAnswer
	// endedRequests holds the IDs that are remembered, ordered by their end.
	endedRequests []endedRequest
	// retainedBytes is the total size of answers.
	retainedBytes int
}

// retainedAnswer is an ended run whose answer can still be read.
type retainedAnswer struct {
	run     *Run
	bytes   int
	endedAt time.Time
}

// endedRequest is the ID of a request that must not start again.
type endedRequest struct {
	id string
	// newestEpoch is the newest epoch at the time when the run ended.
	newestEpoch uint64
}

func newReplayGuard(seed uint64) replayGuard {
	incarnation := seed &^ epochMask

	return replayGuard{incarnation: incarnation, newestEpoch: incarnation + 1, oldestEpoch: incarnation + 1, epochStarted: time.Now()}
}

// accepts reports whether a request with the given epoch may start here.
func (guard *replayGuard) accepts(epoch uint64) bool {
	return epoch >= guard.oldestEpoch && epoch <= guard.newestEpoch
}

// add records an ended run and keeps its answer.
func (guard *replayGuard) add(id string, run *Run, bytes int) {
	now := time.Now()
	guard.answers = append(guard.answers, retainedAnswer{run: run, bytes: bytes, endedAt: now})
	guard.endedRequests = append(guard.endedRequests, endedRequest{id: id, newestEpoch: guard.newestEpoch})
	guard.retainedBytes += bytes
}

// advanceEpoch starts a new epoch when the current one has lasted Retain, or when
// there are too many ended requests. In the latter case all earlier epochs are
// refused from then on.
func (guard *replayGuard) advanceEpoch(settings Settings) {
	tooMany := len(guard.endedRequests) > settings.Records
	if !tooMany && time.Since(guard.epochStarted) < settings.Retain {
		return
	}

	guard.oldestEpoch = guard.newestEpoch
	guard.newestEpoch++
	guard.epochStarted = time.Now()

	if tooMany {
		guard.oldestEpoch = guard.newestEpoch
	}
}

// evict drops the oldest answers while they are expired or exceed RetainBytes.
// It returns the IDs to forget: those whose epochs are all refused by now.
func (guard *replayGuard) evict(settings Settings) []string {
	for len(guard.answers) > 0 {
		answer := guard.answers[0]
		if guard.retainedBytes <= settings.RetainBytes && time.Since(answer.endedAt) <= settings.Retain {
			break
		}

		answer.run.dropAnswer()

		guard.retainedBytes -= answer.bytes
		guard.answers = guard.answers[1:]
	}

	forgotten := []string{}
	for len(guard.endedRequests) > 0 && guard.endedRequests[0].newestEpoch < guard.oldestEpoch {
		forgotten = append(forgotten, guard.endedRequests[0].id)
		guard.endedRequests = guard.endedRequests[1:]
	}

	return forgotten
}

// lastEnd returns when the run of the newest kept answer ended, or zero if none
// is kept.
func (guard *replayGuard) lastEnd() time.Time {
	if len(guard.answers) == 0 {
		return time.Time{}
	}

	return guard.answers[len(guard.answers)-1].endedAt
}
