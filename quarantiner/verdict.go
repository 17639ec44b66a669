package quarantiner

import (
	"limpetrail/placer"
)

// isQuarantined judges the evidence against a part. The mutex must be held.
func (quarantiner *Quarantiner) isQuarantined(judged *suspect) bool {
	if judged.judgedAt == quarantiner.revision {
		return judged.convicted
	}

	judged.judgedAt = quarantiner.revision
	judged.convicted = quarantiner.judge(judged)

	return judged.convicted
}

// judge weighs the strikes of a subject against the others that may have caused them. Parts that
// a deadly one is always sent with have the same strikes as that one. If other parts explain
// strikes, one more is needed, and each of these parts counts as one. All strikes of one request
// count as one against the parts of its prompt, and so do those of one item: either may be deadly
// by itself. A request that ran beside others is no evidence against these.
func (quarantiner *Quarantiner) judge(judged *suspect) bool {
	strikes := judged.evidence()
	if countIndependent(strikes) < judged.neededStrikes() {
		return false
	}

	needed, unexplained, explaining := judged.neededStrikes(), []strike{}, map[*suspect]bool{}

	for _, candidate := range strikes {
		explained := false

		for _, other := range quarantiner.suspects {
			holds := candidate.holds(other.subject)
			if !other.explains(judged) || !holds && !other.strikeBy(candidate.server) {
				continue
			}

			explained = true

			if holds || !other.subject.isRequest() {
				explaining[other] = true
			}

			if !other.subject.isRequest() {
				needed = judged.neededStrikes() + 1
			}
		}

		if !explained {
			unexplained = append(unexplained, candidate)
		}
	}

	return countIndependent(unexplained)+len(explaining) >= needed
}

// Explains reports whether something that is quarantined was at the server when it ended.
func (quarantiner *Quarantiner) Explains(service string, server placer.Server) bool {
	quarantiner.mutex.Lock()
	defer quarantiner.mutex.Unlock()

	for subject, known := range quarantiner.suspects {
		if subject.Service == service && known.strikeBy(incarnationOf(server)) && quarantiner.isQuarantined(known) {
			return true
		}
	}

	return false
}
