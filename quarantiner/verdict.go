package quarantiner

import (
	"slices"
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

// judge weighs the strikes of a part against the other parts that may have caused them.
// Parts that a deadly one is always sent with have the same strikes as that one. If other
// parts explain strikes, one more is needed, and each of these parts counts as one.
func (quarantiner *Quarantiner) judge(judged *suspect) bool {
	if countIndependent(judged.strikes) < judged.neededStrikes() {
		return false
	}

	unexplained, explaining := []strike{}, map[*suspect]bool{}

	for _, candidate := range judged.strikes {
		explained := false

		for _, other := range quarantiner.suspects {
			if other.explains(judged) && (slices.Contains(candidate.deeper, other.subject.Part) || other.strikeBy(candidate.server)) {
				explained, explaining[other] = true, true
			}
		}

		if !explained {
			unexplained = append(unexplained, candidate)
		}
	}

	if len(explaining) == 0 {
		return true
	}

	return countIndependent(unexplained)+len(explaining) > judged.neededStrikes()
}
