package enforcer

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

// peersInterval is the shortest time between two checks of which peers are silent. A check visits
// all peers, which is too much work for each request.
const peersInterval = 5 * time.Millisecond

// restartedShare is what a process that starts while some peer is not heard may have beyond the least
// share that its predecessor can have had. The others may still reserve that one, so it has to
// fit into Overrun.
const restartedShare = 0.05

// resumeTime is the time after a silence in which the peer's counts have all been heard: it
// reports those that have not changed since the silence in rotation only.
const resumeTime = rotationTime + 2*ReportInterval

// SetPeers sets the names of the other listed gateways.
func (enforcer *Enforcer) SetPeers(names []string, now time.Time) {
	enforcer.mutex.Lock()
	defer enforcer.mutex.Unlock()

	enforcer.start(now)
	enforcer.listed = true

	for _, known := range enforcer.peers {
		known.listed = false
	}

	maps.DeleteFunc(enforcer.ended, func(name, _ string) bool { return !slices.Contains(names, name) })

	for _, name := range names {
		if enforcer.ended[name] == "" {
			enforcer.peer(name, now).listed = true
		}
	}

	enforcer.refreshedAt = time.Time{}
	enforcer.refreshPeers(now)
}

// peer returns a peer by name, which is known from now on.
func (enforcer *Enforcer) peer(name string, now time.Time) *peer {
	known := enforcer.peers[name]
	if known == nil {
		known = &peer{knownAt: now, index: enforcer.freeIndex()}
		enforcer.peers[name] = known
	}

	return known
}

// freeIndex returns the lowest index that no peer has.
func (enforcer *Enforcer) freeIndex() int {
	used := make([]bool, len(enforcer.peers)+1)

	for _, known := range enforcer.peers {
		if known.index < len(used) {
			used[known.index] = true
		}
	}

	return slices.Index(used, false)
}

func (enforcer *Enforcer) start(now time.Time) {
	if enforcer.startedAt.IsZero() {
		enforcer.startedAt = now
	}
}

// heard is the number of peers that are not silent.
func (enforcer *Enforcer) heard() int {
	count := 0

	for _, known := range enforcer.peers {
		if !known.silent {
			count++
		}
	}

	return count
}

// hearsMost reports whether this gateway and the peers that it hears are more than half of the
// known gateways. Of two sides of a partition at most one is.
func (enforcer *Enforcer) hearsMost() bool {
	return 2*(enforcer.heard()+1) > enforcer.gateways()
}

// isolated reports whether the others may have stopped reserving a part for this gateway: they do
// so once it is no longer listed, if they hear most gateways.
func (enforcer *Enforcer) isolated() bool {
	return !enforcer.listed || enforcer.divided && !enforcer.hearsMost() && !enforcer.Registered()
}

// refreshPeers finds silent peers, drops those that left, and changes between the common bucket and
// separate parts.
func (enforcer *Enforcer) refreshPeers(now time.Time) {
	enforcer.start(now)

	if now.Sub(enforcer.refreshedAt) < peersInterval {
		return
	}

	enforcer.refreshedAt = now
	enforcer.mostGateways = max(enforcer.mostGateways, enforcer.gateways())
	divided, gone := false, false

	for _, known := range enforcer.peers {
		if !known.silent && now.Sub(known.lastSign()) > enforcer.silence() {
			known.silent, known.silentAt = true, now
		}

		gone = gone || known.silent && !known.listed
		divided = divided || known.silent || now.Sub(known.deafAt) < deafTime || now.Sub(known.resumedAt) < resumeTime
	}

	if gone && enforcer.hearsMost() {
		enforcer.dropGone(now)
	}

	if divided == enforcer.divided {
		return
	}

	if divided {
		enforcer.separateParts(now)
	} else {
		enforcer.joinParts(now)
	}

	enforcer.divided = divided
	enforcer.Log.WithFields(logrus.Fields{"Divided": divided, "Heard": enforcer.heard(), "Peers": len(enforcer.peers)}).Info("Caps are divided into fixed parts while some gateway is not heard, or no longer are.")
}

// dropGone forgets silent peers that are no longer listed.
func (enforcer *Enforcer) dropGone(now time.Time) {
	for name, known := range enforcer.peers {
		if known.silent && !known.listed {
			enforcer.dropUses(known, now)
			delete(enforcer.peers, name)
		}
	}
}

// separateParts gives this gateway its part of each bucket, less what others haven't heard of.
func (enforcer *Enforcer) separateParts(now time.Time) {
	for _, bucket := range enforcer.buckets {
		share := enforcer.advance(bucket, now)
		if now.Sub(enforcer.startedAt) < startTime {
			share = min(share, (1-demandWeight)/float64(enforcer.gateways())+restartedShare)
		}

		bucket.fixedShare, bucket.dirty = share, true
		bucket.private = share*(bucket.level+bucket.recentSum) - bucket.recentSum
	}
}

// joinParts lets the shares follow the demand again. What peers have left of their
// parts is unknown, so that the level is what this gateway has left of its own.
func (enforcer *Enforcer) joinParts(now time.Time) {
	for _, bucket := range enforcer.buckets {
		enforcer.advance(bucket, now)
		bucket.level = min(bucket.level, bucket.private)
		bucket.fixedShare, bucket.dirty = 0, true
	}
}

// forget removes a peer that has ended. All that it spent was reported, or is within its part of
// Slack.
func (enforcer *Enforcer) forget(name string, known *peer) {
	for _, bucket := range enforcer.buckets {
		bucket.setUse(known.index, peerUse{})
	}

	delete(enforcer.peers, name)
}

// dropUses charges what a peer may have spent unheard, at most its part of the level, and forgets
// the peer's use.
func (enforcer *Enforcer) dropUses(known *peer, now time.Time) {
	for _, bucket := range enforcer.buckets {
		enforcer.advance(bucket, now)
		bucket.level -= enforcer.partOf(bucket, known) * max(0, bucket.level)
		bucket.setUse(known.index, peerUse{})
	}
}

// partOf is a peer's part of a bucket as seen here.
func (enforcer *Enforcer) partOf(bucket *bucket, known *peer) float64 {
	use := bucket.useOf(known.index)
	if use.share > 0 {
		return float64(use.share)
	}

	return max(0, 1-bucket.peerShares) * part(float64(use.demand), bucket.peerDemand+bucket.claimed, enforcer.gateways()-bucket.fixedPeers)
}

// unheardPeers returns silent peers, some in each report if there are many. A process that has just
// started keeps to a small part by itself, and peers that have not learned of it yet send it nothing:
// they need not divide the caps for that.
func (enforcer *Enforcer) unheardPeers(now time.Time) []string {
	var silent []string

	starting := now.Sub(enforcer.startedAt) < startTime

	for _, name := range slices.Sorted(maps.Keys(enforcer.peers)) {
		if known := enforcer.peers[name]; known.silent && (!starting || !known.heardAt.IsZero()) {
			silent = append(silent, name)
		}
	}

	if len(silent) > maxUnheard {
		enforcer.unheardCursor = (enforcer.unheardCursor + maxUnheard) % len(silent)
		silent = append(silent[enforcer.unheardCursor:], silent[:enforcer.unheardCursor]...)[:maxUnheard]
	}

	return silent
}
