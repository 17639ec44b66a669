package quarantiner

import (
	"slices"
	"time"

	"limpetrail/placer"
)

// Incarnation identifies one start of a backend server.
type Incarnation struct {
	Server string
	Start  int64 `json:",omitempty"`
}

// strike is the end of a backend server's process before it began to answer a request.
type strike struct {
	server    Incarnation
	requestID string
	// fingerprint is that of the request; empty for an item.
	fingerprint string
	// deeper are the parts that follow the struck one in the prompt of the request.
	deeper []string
	// sentAt is when the request was sent, and endedAt when the server had ended.
	sentAt, endedAt time.Time
	// abandonedAt is when the run was given up before the server ended; zero if it was not.
	abandonedAt time.Time
	// trial is true if the request tried a quarantined part again.
	trial bool
}

// holds reports whether the request has the subject too, deeper than the struck one.
func (struck strike) holds(subject Subject) bool {
	if subject.isRequest() {
		return struck.fingerprint == subject.Fingerprint
	}

	return slices.Contains(struck.deeper, subject.Part)
}

// maxDeeper bounds the parts that a strike names beside its own.
const maxDeeper = 4

func incarnationOf(server placer.Server) Incarnation {
	return Incarnation{Server: server.ID, Start: server.Incarnation}
}

// independentServers returns the servers of the strikes that count by themselves. The strikes are in
// the order in which the servers ended. Runs that were under way when a server ended count together
// with it: what ended that server, say a fault of its rack, may have ended theirs.
func independentServers(strikes []strike) []Incarnation {
	servers, lastEnd := []Incarnation{}, time.Time{}

	for _, strike := range strikes {
		if !strike.sentAt.Before(lastEnd) {
			servers = append(servers, strike.server)
			lastEnd = strike.endedAt
		}
	}

	return servers
}

func countIndependent(strikes []strike) int {
	return len(independentServers(strikes))
}

// withoutRepeats returns the first strike of each item and all strikes of other requests. An item
// that ends servers by itself does so at each attempt, which shows nothing of the parts that it
// shares with others.
func withoutRepeats(strikes []strike) []strike {
	for index := range strikes {
		if !isRepeat(strikes, index) {
			continue
		}

		first := slices.Clone(strikes[:index])

		for later := index; later < len(strikes); later++ {
			if !isRepeat(strikes, later) {
				first = append(first, strikes[later])
			}
		}

		return first
	}

	return strikes
}

// isRepeat reports whether an earlier strike is of the same item.
func isRepeat(strikes []strike, index int) bool {
	if strikes[index].fingerprint != "" {
		return false
	}

	return slices.ContainsFunc(strikes[:index], func(earlier strike) bool {
		return earlier.fingerprint == "" && earlier.requestID == strikes[index].requestID
	})
}
