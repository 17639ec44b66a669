package enforcer

import "time"

// peer is another gateway that is listed or was heard.
type peer struct {
	process string
	// index is the position of its uses in buckets; no two peers share one.
	index int
	// knownAt is when the peer was first listed, heardAt when its last report arrived; the
	// latter is zero if none has.
	knownAt, heardAt time.Time
	listed           bool
	// silent is true if its reports do not arrive, and silentAt is when it became so.
	silent   bool
	silentAt time.Time
	// resumedAt and silence are the end and the length of its last silence.
	resumedAt time.Time
	silence   time.Duration
	// deafAt is when the peer last said that it does not hear this gateway.
	deafAt time.Time
}

// lastSign is the time from which the silence of the peer is counted.
func (known *peer) lastSign() time.Time {
	if known.heardAt.After(known.knownAt) {
		return known.heardAt
	}

	return known.knownAt
}

// peerUse is the newest use that a peer reported for one workspace.
type peerUse struct {
	count float64
	// demand is that of the last report, share the fixed share; 0 if it follows the demand.
	demand, share float32
	// heardAt is when it was heard in nanoseconds since 1970, 0 for never. A time.Time would double
	// the size, which is multiplied by workspaces and peers.
	heardAt int64
}
