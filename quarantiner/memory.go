package quarantiner

import (
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// maxSuspects bounds the parts and requests that are kept.
	maxSuspects = 1024
	// suspicionLifetime is how long strikes that are too few count, and how long refuted
	// ones, and answers to requests with a part, are remembered.
	suspicionLifetime = 10 * time.Minute
	// quarantineMemory is how long a quarantined part is kept of which no request comes.
	quarantineMemory = time.Hour
)

// suspectFor returns the suspect of a subject, and creates it if there is none. The mutex
// must be held.
func (quarantiner *Quarantiner) suspectFor(subject Subject, now time.Time) *suspect {
	known := quarantiner.suspects[subject]
	if known == nil {
		quarantiner.prune(now)

		known = &suspect{subject: subject, judgedAt: -1, proven: quarantiner.answered.isProven(subject, now)}
		quarantiner.suspects[subject] = known
	}

	return known
}

// prune drops parts whose evidence is too old, and the oldest if there are too many. The
// mutex must be held.
func (quarantiner *Quarantiner) prune(now time.Time) {
	var oldest *suspect

	for subject, known := range quarantiner.suspects {
		lifetime := suspicionLifetime
		if quarantiner.isQuarantined(known) {
			lifetime = quarantineMemory
		}

		if now.Sub(known.changedAt) > lifetime {
			quarantiner.forget(subject, "old")
		} else if oldest == nil || quarantiner.precedes(known, oldest) {
			oldest = known
		}
	}

	if len(quarantiner.suspects) >= maxSuspects {
		quarantiner.forget(oldest.subject, "too many")
	}
}

// precedes reports whether a part is forgotten before another one.
func (quarantiner *Quarantiner) precedes(known, other *suspect) bool {
	if quarantiner.isQuarantined(known) != quarantiner.isQuarantined(other) {
		return quarantiner.isQuarantined(other)
	}

	return known.changedAt.Before(other.changedAt)
}

func (quarantiner *Quarantiner) forget(subject Subject, reason string) {
	if quarantiner.isQuarantined(quarantiner.suspects[subject]) {
		quarantiner.Log.WithFields(logrus.Fields{"Service": subject.Service, "PromptPart": subject.Part, "Fingerprint": subject.Fingerprint, "Reason": reason}).Warn("Quarantined prompt part or request is forgotten.")
	}

	delete(quarantiner.suspects, subject)

	quarantiner.revision++
}
