package quarantiner

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxNameBytes bounds the names in findings that are received.
	maxNameBytes = 128
	// maxDepth is the depth of requests, and bounds that of parts in findings that are received.
	maxDepth = 1 << 10
	// maxFailedTrials is far beyond the longest period.
	maxFailedTrials = 1 << 10
)

// Finding is what an entry knows of a part or a request, as it tells others. Servers and their starts
// identify strikes, so no clocks of two instances are compared.
type Finding struct {
	Subject

	Depth        int             `json:",omitempty"`
	Strikes      []FindingStrike `json:",omitempty"`
	Refuted      []Incarnation   `json:",omitempty"`
	FailedTrials int             `json:",omitempty"`
	// Proven is true if servers have answered requests with the part before.
	Proven bool `json:",omitempty"`
	// Answered is true if a server began to answer a request with the part at the entry,
	// AnsweredAge ago.
	Answered    bool          `json:",omitempty"`
	AnsweredAge time.Duration `json:",omitempty"`
	// Asked is true if a request with the part came to the entry AskedAge ago, and Trying
	// while it tries the part again.
	Asked    bool          `json:",omitempty"`
	AskedAge time.Duration `json:",omitempty"`
	Trying   bool          `json:",omitempty"`
}

// FindingStrike is a strike; its times are ages at the time of the report.
type FindingStrike struct {
	Incarnation

	RequestID string
	// Fingerprint is that of the request; empty for an item.
	Fingerprint string `json:",omitempty"`
	// Deeper are parts that followed the struck one in the prompt.
	Deeper   []string `json:",omitempty"`
	SentAge  time.Duration
	EndedAge time.Duration
}

// answeredAt returns when a server had certainly begun to answer a request with the part;
// zero if that is not known.
func (finding Finding) answeredAt(now time.Time) time.Time {
	if !finding.Answered {
		return time.Time{}
	}

	return now.Add(-finding.AnsweredAge - answeredMargin)
}

// valid reports whether a finding can be the report of an entry.
func (finding Finding) valid() bool {
	named := (finding.Part == "") == finding.isRequest() && len(finding.Part) <= maxNameBytes && len(finding.Fingerprint) <= maxNameBytes
	bounded := named && len(finding.Service) <= maxNameBytes &&
		len(finding.Refuted) <= maxRefuted && len(finding.Strikes) <= maxStrikes &&
		isBetween(finding.Depth, 0, maxDepth) && isBetween(finding.FailedTrials, 0, maxFailedTrials) && finding.AskedAge >= 0 && finding.AnsweredAge >= 0

	return bounded && !slices.ContainsFunc(finding.Strikes, func(struck FindingStrike) bool { return !struck.valid() }) &&
		!slices.ContainsFunc(finding.Refuted, func(server Incarnation) bool { return len(server.Server) > maxNameBytes })
}

// toStrike returns the strike at the time of the report.
func (struck FindingStrike) toStrike(now time.Time) strike {
	return strike{
		server: struck.Incarnation, requestID: struck.RequestID, fingerprint: struck.Fingerprint, deeper: struck.Deeper,
		sentAt: now.Add(-struck.SentAge), endedAt: now.Add(-struck.EndedAge),
	}
}

// valid reports whether a strike can be the report of an entry: requests are sent before
// their servers end.
func (struck FindingStrike) valid() bool {
	return len(struck.Server) <= maxNameBytes && len(struck.RequestID) <= maxNameBytes && len(struck.Fingerprint) <= maxNameBytes && len(struck.Deeper) <= maxDeeper &&
		!slices.ContainsFunc(struck.Deeper, func(part string) bool { return len(part) > maxNameBytes }) &&
		isBetween(struck.EndedAge, 0, struck.SentAge) && struck.SentAge <= quarantineMemory
}

func isBetween[T cmp.Ordered](value, least, most T) bool {
	return least <= value && value <= most
}
