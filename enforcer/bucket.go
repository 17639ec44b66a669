package enforcer

import (
	"math"
	"time"

	"limpetrail/matcher"
)

const (
	// demandTime is the time constant of the smoothed demand. Shorter ones make the shares of
	// workspaces with a request a second or less fluctuate.
	demandTime = time.Second
	// activeDemand is the demand in requests a second below which a workspace is not reported.
	activeDemand = 0.01
	// demandDigits keeps two decimal places of a demand in reports.
	demandDigits = 100
	// maxClaimRise and maxClaimFall are the relative changes of the demand that peers are told of.
	maxClaimRise = 1.5
	maxClaimFall = 0.33
	// demandWeight is the part of a cap that is divided by demand; the rest is divided equally, so
	// that a gateway whose callers have just arrived may admit some of their requests.
	demandWeight = 0.8
	// slots is the number of parts in which recent admissions are counted; one more holds the
	// part that is partly older.
	slots = 9
)

// bucket is the view of one workspace's common token bucket at this gateway.
type bucket struct {
	limit matcher.Cap
	// spare is the number of tokens that the bucket holds beyond the burst. It is a part of what the
	// bound tolerates.
	spare float64
	// level is the number of tokens; it may be negative.
	level float64
	// private is this gateway's own part of the bucket, used while some peer is not heard.
	private float64
	// fixedShare is the share while some peer is not heard, 0 if all are. It can't follow the demand,
	// of which not all gateways hear.
	fixedShare float64
	// updated is when level, private and demand were last brought up to date.
	updated time.Time
	// count is the number of admitted requests minus refunded ones.
	count float64
	// demand is the smoothed rate of admitted and refused requests.
	demand float64
	// recent counts the admissions that peers may not have heard of, by time.
	recent     [slots]float64
	recentSum  float64
	recentSlot int64
	// reportedCount and reportedAt belong to the last report that held this workspace.
	reportedCount float64
	reportedAt    time.Time
	// dirty is true if a request was decided since reportedAt.
	dirty bool
	// repeats is how often the last change is reported again, in case datagrams are lost.
	repeats int
	// setBack is true if the workspace was active in its last report, so that one more report must
	// tell peers that it no longer is.
	setBack bool
	// claimed is the demand that peers are told. Settled is a claim that all peers have heard of;
	// pending, reported at pendingAt, becomes the next one.
	claimed, settled, pending float64
	pendingAt                 time.Time
	// peers holds the newest uses by the peers' indices, as far as any was heard. peerDemand is the
	// sum of the demands of those without a fixed share, fixedPeers and peerShares the number of the
	// others and the sum of their shares.
	peers      []peerUse
	peerDemand float64
	// activePeers is the number of peers with a demand.
	activePeers int
	fixedPeers  int
	peerShares  float64
	// adopted is true if the level was taken from a peer after the start.
	adopted bool
	// refused counts refusals since refusedSince; both are zero while there are none.
	refused                   int
	refusedSince, refusedLast time.Time
}

// newBucket returns a bucket that was empty at a time; a zero time stands for the first use.
func newBucket(emptyAt time.Time) *bucket {
	return &bucket{updated: emptyAt}
}

// setLimit replaces the cap.
func (bucket *bucket) setLimit(limit matcher.Cap, spare float64) {
	bucket.limit, bucket.spare = limit, spare
	bucket.level = min(bucket.level, bucket.capacity())
}

func (bucket *bucket) capacity() float64 {
	return max(1, bucket.limit.Burst) + bucket.spare
}

// advance brings level, private part and demand up to date.
func (bucket *bucket) advance(now time.Time, share float64) {
	if bucket.updated.IsZero() {
		bucket.updated = now
	}

	elapsed := now.Sub(bucket.updated).Seconds()
	if elapsed <= 0 {
		return
	}

	refill := elapsed * bucket.limit.PerSecond
	bucket.level = min(bucket.capacity(), bucket.level+refill)
	bucket.private = min(share*bucket.capacity(), bucket.private+share*refill)
	bucket.demand *= math.Exp(-elapsed / demandTime.Seconds())
	bucket.updated = now
	bucket.claim()
}

// expireRecent forgets admissions that are older than the span.
func (bucket *bucket) expireRecent(now time.Time, span time.Duration) {
	slot := now.UnixNano() / int64(span/(slots-1))
	for passed := min(slot-bucket.recentSlot, slots); passed > 0; passed-- {
		index := (slot - passed + 1) % slots
		bucket.recentSum -= bucket.recent[index]
		bucket.recent[index] = 0
	}

	bucket.recentSlot = max(slot, bucket.recentSlot)
}

// untilForgotten is the time until the given number of recent admissions has passed the span.
func (bucket *bucket) untilForgotten(number float64, span time.Duration) time.Duration {
	forgotten := 0.0

	for age := slots - 1; age > 0; age-- {
		forgotten += bucket.recent[(bucket.recentSlot-int64(age)+slots)%slots]
		if forgotten >= number {
			return span * time.Duration(slots-age) / (slots - 1)
		}
	}

	return span
}

// spend records an admission.
func (bucket *bucket) spend() {
	bucket.level--
	bucket.private--
	bucket.count++
	bucket.recent[bucket.recentSlot%slots]++
	bucket.recentSum++
}

// refund takes an admission back.
func (bucket *bucket) refund() {
	bucket.level = min(bucket.capacity(), bucket.level+1)
	bucket.private++
	bucket.count--
	bucket.dirty = true

	for age := range int64(slots) {
		index := (bucket.recentSlot - age + slots) % slots
		if bucket.recent[index] > 0 {
			bucket.recent[index]--
			bucket.recentSum--

			return
		}
	}
}

// share is this gateway's part of the cap. The parts of all gateways sum up to at most 1: a
// growing demand counts only after peers have heard of it, a falling one at once.
func (bucket *bucket) share(now time.Time, unheardTime time.Duration, gateways int) float64 {
	if !bucket.pendingAt.IsZero() && now.Sub(bucket.pendingAt) >= unheardTime {
		bucket.settled, bucket.pendingAt = bucket.pending, time.Time{}
	}

	if bucket.fixedShare > 0 {
		return bucket.fixedShare
	}

	others, free := gateways-bucket.fixedPeers, max(0, 1-bucket.peerShares)
	share := part(min(bucket.claimed, bucket.settled), bucket.peerDemand+max(bucket.claimed, bucket.settled, bucket.pending), others)

	if bucket.peerDemand < activeDemand {
		// No peer's claim has settled, so that each has at most an equal part.
		share = max(share, 1/float64(others))
	}

	return free * share
}

// part is the share of a gateway by its demand and the total demand of those whose share follows it.
func part(demand, total float64, gateways int) float64 {
	equal := 1 / float64(max(1, gateways))
	if total < activeDemand {
		return equal
	}

	return demandWeight*demand/total + (1-demandWeight)*equal
}

// claim follows the demand. Small changes are ignored: a share that fluctuates is lost to all, because
// a part of it is in use nowhere while peers hear of the change.
func (bucket *bucket) claim() {
	switch demand := math.Round(bucket.demand*demandDigits) / demandDigits; {
	case demand < activeDemand:
		bucket.claimed = 0
	case demand > maxClaimRise*bucket.claimed, demand < maxClaimFall*bucket.claimed:
		bucket.claimed = demand
	}
}

// reportClaim records that peers are being told the claim, and returns it. Settled and pending
// never exceed a claim that was reported after them, which peers may have heard already.
func (bucket *bucket) reportClaim(now time.Time) float64 {
	bucket.settled = min(bucket.settled, bucket.claimed)

	if bucket.pendingAt.IsZero() {
		bucket.pending, bucket.pendingAt = bucket.claimed, now
	}

	bucket.pending = min(bucket.pending, bucket.claimed)

	return bucket.claimed
}

// setUse replaces a peer's use.
func (bucket *bucket) setUse(index int, use peerUse) {
	if index >= len(bucket.peers) {
		if use == (peerUse{}) {
			return
		}

		bucket.peers = append(bucket.peers, make([]peerUse, index+1-len(bucket.peers))...)
	}

	bucket.addToSums(bucket.peers[index], -1)
	bucket.addToSums(use, 1)
	bucket.peers[index] = use
}

func (bucket *bucket) addToSums(use peerUse, sign int) {
	if use.demand > 0 {
		bucket.activePeers += sign
	}

	if use.share > 0 {
		bucket.fixedPeers += sign
		bucket.peerShares += float64(sign) * float64(use.share)
	} else {
		bucket.peerDemand = max(0, bucket.peerDemand+float64(sign)*float64(use.demand))
	}
}

// useOf returns a peer's newest use; it is zero if none was heard.
func (bucket *bucket) useOf(index int) peerUse {
	if index >= len(bucket.peers) {
		return peerUse{}
	}

	return bucket.peers[index]
}
