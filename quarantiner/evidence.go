package quarantiner

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"limpetrail/placer"
)

// recordStrike records a strike against a request, the parts of its prompt and what was abandoned
// at the server before.
func (quarantiner *Quarantiner) recordStrike(request Request, added strike) {
	quarantiner.mutex.Lock()
	defer quarantiner.mutex.Unlock()

	quarantiner.recordEnding(request.Service, added.server, added.endedAt)
	quarantiner.update("end of "+added.server.Server, func() {
		quarantiner.addStrikes(request, added)
		quarantiner.addStrikesOfAbandoned(added.server, added.endedAt)
	})
}

// RecordRefusal records that a server's port refuses connections, so that its process has ended.
func (quarantiner *Quarantiner) RecordRefusal(server placer.Server) {
	quarantiner.mutex.Lock()
	defer quarantiner.mutex.Unlock()

	ended := incarnationOf(server)
	if !quarantiner.hasAbandoned(ended) {
		return
	}

	quarantiner.update("refusal of "+ended.Server, func() { quarantiner.addStrikesOfAbandoned(ended, time.Now()) })
}

// addStrikes adds a strike against a request and the parts of its prompt. If one of them was
// quarantined already, that one is the cause. The mutex must be held, within an update.
func (quarantiner *Quarantiner) addStrikes(request Request, added strike) {
	quarantiner.strikes.Inc(1)

	known := quarantiner.quarantinedSubjects(request)

	for index, subject := range request.subjects() {
		if len(known) > 0 && !known[subject] || quarantiner.answeredSince(subject, added.abandonedAt) {
			continue
		}

		struck := quarantiner.suspectFor(subject, added.endedAt)
		struck.depth = max(struck.depth, request.depthOf(index))

		if added.trial {
			struck.failedTrials = min(struck.failedTrials+1, maxFailedTrials)
		} else {
			struck.askedAt = added.endedAt
		}

		deeper := min(len(request.Parts), index+1)
		added.deeper = slices.Clone(request.Parts[deeper:min(len(request.Parts), deeper+maxDeeper)])
		struck.addStrike(added, added.endedAt)
	}
}

// answeredSince reports whether servers have begun to answer a request with the subject since it
// was abandoned.
func (quarantiner *Quarantiner) answeredSince(subject Subject, abandonedAt time.Time) bool {
	answeredAt, answered := quarantiner.answered.last(subject)

	return answered && !abandonedAt.IsZero() && answeredAt.After(abandonedAt)
}

// quarantinedSubjects returns which of a request's subjects are quarantined. The mutex must be
// held.
func (quarantiner *Quarantiner) quarantinedSubjects(request Request) map[Subject]bool {
	subjects := map[Subject]bool{}

	for _, subject := range request.subjects() {
		if known := quarantiner.suspects[subject]; known != nil && quarantiner.isQuarantined(known) {
			subjects[subject] = true
		}
	}

	return subjects
}

// refute records that a server began to answer a request.
func (quarantiner *Quarantiner) refute(run *Run) {
	quarantiner.mutex.Lock()
	defer quarantiner.mutex.Unlock()

	quarantiner.endFirstRuns(run)

	for _, subject := range run.request.subjects() {
		quarantiner.answered.record(subject, time.Now())

		known := quarantiner.suspects[subject]
		if known == nil || len(known.strikes) == 0 {
			continue
		}

		quarantiner.update("answer to "+run.request.ID, func() { known.refute(known.servers(), time.Now()) })
	}
}

// update applies a change of the evidence and logs which subjects are quarantined by it, or no
// longer are. The mutex must be held.
func (quarantiner *Quarantiner) update(source string, change func()) {
	before := map[Subject]bool{}
	for subject, known := range quarantiner.suspects {
		before[subject] = quarantiner.isQuarantined(known)
	}

	change()

	quarantiner.revision++

	count := 0

	for subject, known := range quarantiner.suspects {
		now := quarantiner.isQuarantined(known)
		if now {
			count++
		}

		if now == before[subject] {
			continue
		}

		entry := quarantiner.Log.WithFields(logrus.Fields{
			"Service": subject.Service, "PromptPart": subject.Part, "Fingerprint": subject.Fingerprint, "Source": source, "Strikes": len(known.strikes), "FailedTrials": known.failedTrials,
		})

		if now {
			entry.WithFields(logrus.Fields{"Servers": known.servers(), "Release": time.Until(known.releaseAt(time.Now()))}).Warn("Prompt part or request is quarantined.")
		} else {
			entry.Info("Prompt part or request is no longer quarantined.")
		}
	}

	quarantiner.quarantined.Update(float64(count))
}
