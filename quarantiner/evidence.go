package quarantiner

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

// recordStrike records a strike against the parts of a request. If one of them was
// quarantined already, that one is the cause.
func (quarantiner *Quarantiner) recordStrike(request Request, added strike) {
	quarantiner.mutex.Lock()
	defer quarantiner.mutex.Unlock()

	quarantiner.strikes.Inc(1)

	known := quarantiner.quarantinedParts(request)

	quarantiner.update("end of "+added.server.Server, func() {
		for depth, part := range request.Parts {
			subject := Subject{Service: request.Service, Part: part}
			if len(known) > 0 && !known[subject] {
				continue
			}

			struck := quarantiner.suspectFor(subject, added.endedAt)
			struck.depth = max(struck.depth, depth)

			if added.trial {
				struck.failedTrials = min(struck.failedTrials+1, maxFailedTrials)
			} else {
				struck.askedAt = added.endedAt
			}

			added.deeper = slices.Clone(request.Parts[depth+1 : min(len(request.Parts), depth+1+maxDeeper)])
			struck.addStrike(added, added.endedAt)
		}
	})
}

// quarantinedParts returns the parts of a request that are quarantined. The mutex must be
// held.
func (quarantiner *Quarantiner) quarantinedParts(request Request) map[Subject]bool {
	parts := map[Subject]bool{}

	for _, part := range request.Parts {
		subject := Subject{Service: request.Service, Part: part}
		if known := quarantiner.suspects[subject]; known != nil && quarantiner.isQuarantined(known) {
			parts[subject] = true
		}
	}

	return parts
}

// refute records that a server began to answer a request.
func (quarantiner *Quarantiner) refute(run *Run) {
	quarantiner.mutex.Lock()
	defer quarantiner.mutex.Unlock()

	quarantiner.endFirstRuns(run)

	for _, part := range run.request.Parts {
		subject := Subject{Service: run.request.Service, Part: part}
		quarantiner.recordAnswered(subject)

		known := quarantiner.suspects[subject]
		if known == nil || len(known.strikes) == 0 {
			continue
		}

		quarantiner.update("answer to "+run.request.ID, func() { known.refute(known.servers(), time.Now()) })
	}
}

// recordAnswered records that a part was answered. It keeps the newer half when there are
// too many parts. The mutex must be held.
func (quarantiner *Quarantiner) recordAnswered(subject Subject) {
	quarantiner.answered[subject] = time.Now()

	if len(quarantiner.answered) <= maxAnswered {
		return
	}

	times := slices.SortedFunc(maps.Values(quarantiner.answered), time.Time.Compare)
	median := times[len(times)/2]
	maps.DeleteFunc(quarantiner.answered, func(_ Subject, answeredAt time.Time) bool { return !answeredAt.After(median) })
}

// isProven reports whether servers have answered requests with the part lately. The mutex
// must be held.
func (quarantiner *Quarantiner) isProven(subject Subject, now time.Time) bool {
	answeredAt, answered := quarantiner.answered[subject]

	return answered && now.Sub(answeredAt) < suspicionLifetime
}

// update applies a change of the evidence and logs which parts are quarantined by it, or no
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
			"Service": subject.Service, "PromptPart": subject.Part, "Source": source, "Strikes": len(known.strikes), "FailedTrials": known.failedTrials,
		})

		if now {
			entry.WithFields(logrus.Fields{"Servers": known.servers(), "Release": time.Until(known.releaseAt(time.Now()))}).Warn("Prompt part is quarantined.")
		} else {
			entry.Info("Prompt part is no longer quarantined.")
		}
	}

	quarantiner.quarantined.Update(float64(count))
}
