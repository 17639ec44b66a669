package quarantiner

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"
)

const (
	// recentFinding is how long a change is part of all findings; a few reports in a row may
	// be lost.
	recentFinding = 3 * time.Second
	// allFindingsInterval is how often quarantined parts are among the findings that have
	// not changed, for entries that have started since.
	allFindingsInterval = time.Second
	// maxFindings and maxFindingStrikes bound the findings of one report.
	maxFindings       = 16
	maxFindingStrikes = 12
	// maxReportStrikes bounds the strikes of all findings in one report.
	maxReportStrikes = 48
	// maxFindingRefuted bounds the refuted strikes in a finding.
	maxFindingRefuted = maxStrikes
	// answeredMargin is subtracted from the time of an answer that another entry reports: a
	// report may be that late.
	answeredMargin = 500 * time.Millisecond
	// trialHeardTime is how long a trial of another entry is heard of after a report of it.
	trialHeardTime = 1500 * time.Millisecond
)

// Findings returns what the other entries should be told now: changes for a while and,
// from time to time, a few of the quarantined parts in turn.
func (quarantiner *Quarantiner) Findings() []Finding {
	quarantiner.mutex.Lock()
	defer quarantiner.mutex.Unlock()

	now := time.Now()
	selected := []*suspect{}
	unchanged := []*suspect{}

	for _, known := range quarantiner.suspects {
		if now.Sub(known.changedAt) <= recentFinding {
			selected = append(selected, known)
		} else if quarantiner.isQuarantined(known) {
			unchanged = append(unchanged, known)
		}
	}

	// Verdicts go first: a crash leaves many requests suspected that were only beside it.
	slices.SortFunc(selected, func(one, other *suspect) int {
		return cmp.Or(compareBools(quarantiner.isQuarantined(other), quarantiner.isQuarantined(one)), other.changedAt.Compare(one.changedAt))
	})
	selected = selected[:min(len(selected), maxFindings)]

	if len(unchanged) > 0 && now.Sub(quarantiner.findingsAt) >= allFindingsInterval {
		quarantiner.findingsAt = now

		slices.SortFunc(unchanged, compareSubjects)

		for range min(len(unchanged), maxFindings-len(selected)) {
			quarantiner.findingsCursor = (quarantiner.findingsCursor + 1) % len(unchanged)
			selected = append(selected, unchanged[quarantiner.findingsCursor])
		}
	}

	findings, strikes := make([]Finding, 0, len(selected)), 0

	for _, known := range selected {
		finding := quarantiner.finding(known, now)
		finding.Strikes = finding.Strikes[:min(len(finding.Strikes), maxReportStrikes-strikes)]
		strikes += len(finding.Strikes)

		findings = append(findings, finding)
	}

	return findings
}

// finding describes a suspect. The strikes that count by themselves come first, then the newest: others
// may get no more than some of them. The mutex must be held.
func (quarantiner *Quarantiner) finding(suspect *suspect, now time.Time) Finding {
	finding := Finding{
		Subject: suspect.subject, Depth: suspect.depth, FailedTrials: suspect.failedTrials, Proven: suspect.proven,
		Asked: !suspect.askedAt.IsZero(), Trying: now.Before(suspect.trialEndsAt),
		Refuted: slices.Clone(suspect.refuted[max(0, len(suspect.refuted)-maxFindingRefuted):]),
	}

	if finding.Asked {
		finding.AskedAge = now.Sub(suspect.askedAt)
	}

	if answeredAt, answered := quarantiner.answered.last(suspect.subject); answered {
		finding.Answered, finding.AnsweredAge = true, now.Sub(answeredAt)
	}

	strikes, independent := slices.Clone(suspect.strikes), independentServers(suspect.evidence())
	slices.Reverse(strikes)
	slices.SortStableFunc(strikes, func(one, other strike) int {
		return compareBools(slices.Contains(independent, other.server), slices.Contains(independent, one.server))
	})

	for _, known := range strikes[:min(len(strikes), maxFindingStrikes)] {
		finding.Strikes = append(finding.Strikes, FindingStrike{
			Incarnation: known.server, RequestID: known.requestID, Fingerprint: known.fingerprint, Deeper: known.deeper, SentAge: now.Sub(known.sentAt), EndedAge: now.Sub(known.endedAt),
		})
	}

	return finding
}

// EncodeFindings returns the findings as JSON, nil if there are none, for messages that
// carry them along.
func (quarantiner *Quarantiner) EncodeFindings() []byte {
	findings := quarantiner.Findings()
	if len(findings) == 0 {
		return nil
	}

	encoded, err := json.Marshal(findings)
	if err != nil {
		quarantiner.Log.WithError(err).Warn("Findings cannot be encoded; others are not told of them.")

		return nil
	}

	return encoded
}

// DecodeFindings adds the findings that a message carried along.
func (quarantiner *Quarantiner) DecodeFindings(peer string, encoded []byte) {
	if len(encoded) == 0 {
		return
	}

	findings := []Finding{}
	if err := json.Unmarshal(encoded, &findings); err != nil {
		quarantiner.Log.WithField("Peer", peer).WithError(err).Warn("Findings of another process cannot be read.")

		return
	}

	quarantiner.ApplyFindings(peer, findings)
}

// ApplyFindings adds the findings of another entry. Invalid ones are ignored.
func (quarantiner *Quarantiner) ApplyFindings(peer string, findings []Finding) {
	if len(findings) == 0 {
		return
	}

	quarantiner.mutex.Lock()
	defer quarantiner.mutex.Unlock()

	now, news := time.Now(), []Finding{}

	for _, finding := range findings[:min(len(findings), maxFindings)] {
		if !finding.valid() {
			continue
		}

		quarantiner.hear(finding, now)

		for _, struck := range finding.Strikes {
			quarantiner.recordEnding(finding.Service, struck.Incarnation, now.Add(-struck.EndedAge))
		}

		if quarantiner.isNews(finding, now) {
			news = append(news, finding)
		}
	}

	if len(news) == 0 {
		return
	}

	quarantiner.update("report of "+peer, func() {
		for _, finding := range news {
			quarantiner.apply(finding, now)
		}
	})
}

// hear records what a finding says of the requests of another entry. It is not told on, as
// ages grow inexact on the way. The mutex must be held.
func (quarantiner *Quarantiner) hear(finding Finding, now time.Time) {
	known := quarantiner.suspects[finding.Subject]
	if known == nil {
		return
	}

	if askedAt := now.Add(-finding.AskedAge); finding.Asked && askedAt.After(known.peerAskedAt) {
		known.peerAskedAt = askedAt
	}

	if finding.Trying {
		known.peerTrialEndsAt = now.Add(trialHeardTime)
	}

	for _, struck := range finding.Strikes {
		known.repeatRefuted(struck.Incarnation, now)
	}
}

// isNews reports whether a finding would change the evidence. The mutex must be held.
func (quarantiner *Quarantiner) isNews(finding Finding, now time.Time) bool {
	known := quarantiner.suspects[finding.Subject]
	if known == nil {
		return len(finding.Strikes) > 0 || len(finding.Refuted) > 0
	}

	if len(known.strikes) > 0 && (finding.FailedTrials > known.failedTrials || finding.Proven && !known.proven) {
		return true
	}

	return len(known.strikesBefore(finding.answeredAt(now))) > 0 ||
		slices.ContainsFunc(finding.Refuted, func(server Incarnation) bool { return !slices.Contains(known.refuted, server) }) ||
		slices.ContainsFunc(finding.Strikes, func(struck FindingStrike) bool {
			return !known.strikeBy(struck.Incarnation) && !slices.Contains(known.refuted, struck.Incarnation) && known.keeps(struck.toStrike(now))
		})
}

// apply merges a finding into the evidence. The mutex must be held.
func (quarantiner *Quarantiner) apply(finding Finding, now time.Time) {
	known := quarantiner.suspectFor(finding.Subject, now)
	quarantiner.hear(finding, now)

	known.depth = max(known.depth, finding.Depth)
	known.proven = known.proven || finding.Proven
	known.refute(finding.Refuted, now)
	known.refute(known.strikesBefore(finding.answeredAt(now)), now)

	answeredAt, _ := quarantiner.answered.last(finding.Subject)

	for _, struck := range finding.Strikes {
		endedAt := now.Add(-struck.EndedAge)
		if endedAt.Before(answeredAt.Add(-answeredMargin)) {
			known.refute([]Incarnation{struck.Incarnation}, now)

			continue
		}

		quarantiner.addStrikesOfAbandoned(struck.Incarnation, endedAt)
		known.addStrike(struck.toStrike(now), now)
	}

	if len(known.strikes) > 0 {
		known.failedTrials = max(known.failedTrials, finding.FailedTrials)
	}
}

// compareBools orders false before true.
func compareBools(one, other bool) int {
	switch {
	case one == other:
		return 0
	case one:
		return 1
	default:
		return -1
	}
}
