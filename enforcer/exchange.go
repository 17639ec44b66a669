package enforcer

import (
	"math"
	"slices"
	"time"
)

const (
	// maxUses and maxUsesBytes keep reports below the limit of a datagram, together with the loads.
	maxUses      = 256
	maxUsesBytes = 12 << 10
	// useBytes is the length of a use without its name, as in [1234567,123.45,1234.56,0.1234].
	useBytes = 44
	// shareDigits keeps four decimal places of a share.
	shareDigits = 10_000
	// maxUnheard is the largest number of silent peers in a report.
	maxUnheard = 24
	// rotationTime is the time in which all active workspaces are reported.
	rotationTime = 500 * time.Millisecond
	// useInterval is the shortest time between two reports of a workspace that has few admissions
	// since the last; more than materialPart of the burst are reported at once.
	useInterval  = ReportInterval
	materialPart = 0.05
)

// Report returns what the peers are to learn now, or nil while there are no caps.
func (enforcer *Enforcer) Report(now time.Time) *Report {
	enforcer.mutex.Lock()
	defer enforcer.mutex.Unlock()

	if len(enforcer.buckets) == 0 {
		return nil
	}

	enforcer.refreshPeers(now)

	if now.Sub(enforcer.rotatedAt) >= rotationTime {
		enforcer.rotatedAt = now
		enforcer.logEndedRefusals(now)
	}

	report := &Report{Uses: map[string]Use{}, Starting: now.Sub(enforcer.startedAt) < startTime, Unheard: enforcer.unheardPeers(now)}
	withLevels := now.Sub(enforcer.peerStartedAt) < startTime
	bytes := 0

	for range enforcer.names {
		name := enforcer.names[enforcer.cursor%len(enforcer.names)]
		bucket := enforcer.buckets[name]

		if bucket.due(now) {
			if bytes += useBytes + len(name); len(report.Uses) == maxUses || bytes > maxUsesBytes {
				break
			}

			enforcer.advance(bucket, now)
			report.Uses[name] = bucket.use(now, withLevels)
		}

		enforcer.cursor++
	}

	enforcer.cursor %= len(enforcer.names)

	return report
}

// ReportEnd returns the last report of a process that admits no more requests.
func (enforcer *Enforcer) ReportEnd() *Report {
	enforcer.mutex.Lock()
	defer enforcer.mutex.Unlock()

	if len(enforcer.buckets) == 0 {
		return nil
	}

	return &Report{Ended: true}
}

// due tells whether the workspace belongs into a report.
func (bucket *bucket) due(now time.Time) bool {
	age := now.Sub(bucket.reportedAt)
	changed := math.Abs(bucket.count - bucket.reportedCount)

	switch {
	case changed >= max(1, materialPart*bucket.capacity()):
		return true
	case bucket.dirty || bucket.repeats > 0:
		return age >= useInterval
	default:
		return age >= rotationTime && (bucket.fixedShare > 0 || bucket.demand > activeDemand || bucket.setBack || bucket.peerDemand > activeDemand && bucket.count > 0)
	}
}

// use returns the use to report and records that it is.
func (bucket *bucket) use(now time.Time, withLevel bool) Use {
	if bucket.repeats--; bucket.dirty || bucket.count != bucket.reportedCount {
		bucket.repeats = missedReports - 1
	}

	bucket.repeats = max(0, bucket.repeats)
	bucket.reportedCount, bucket.reportedAt, bucket.dirty = bucket.count, now, false
	use := Use{bucket.count, bucket.reportClaim(now)}
	bucket.setBack = use[useDemand] > 0

	if withLevel || bucket.fixedShare > 0 {
		use = append(use, math.Floor(bucket.level))
	}

	if bucket.fixedShare > 0 {
		use = append(use, math.Ceil(bucket.fixedShare*shareDigits)/shareDigits)
	}

	return use
}

// ApplyReport applies the report of a peer's process. The caller discards reports that are older
// than one applied before.
func (enforcer *Enforcer) ApplyReport(name, process string, report *Report, now time.Time) {
	enforcer.mutex.Lock()
	defer enforcer.mutex.Unlock()

	enforcer.start(now)

	if enforcer.ended[name] == process && process != "" {
		return
	}

	delete(enforcer.ended, name)

	known := enforcer.peer(name, now)

	if known.process != "" && known.process != process {
		enforcer.dropUses(known, now)
	}

	if known.silent {
		known.resumedAt, known.silence = now, now.Sub(known.silentAt)
	}

	known.process, known.heardAt, known.silent = process, now, false

	if report == nil {
		return
	}

	if report.Ended {
		enforcer.ended[name] = process
		enforcer.forget(name, known)

		return
	}

	if report.Starting {
		enforcer.peerStartedAt = now
	}

	if slices.Contains(report.Unheard, enforcer.Instance) {
		known.deafAt = now
	}

	for workspace, use := range report.Uses {
		if bucket := enforcer.buckets[workspace]; bucket != nil && len(use) > useDemand {
			enforcer.applyUse(bucket, known, use, now)
		}
	}
}

// applyUse charges a bucket for the growth of a peer's count.
func (enforcer *Enforcer) applyUse(bucket *bucket, sender *peer, use Use, now time.Time) {
	enforcer.advance(bucket, now)

	starting := now.Sub(enforcer.startedAt) < startTime
	before := bucket.useOf(sender.index)
	known := before.heardAt != 0
	grown := use[useCount] - before.count

	switch {
	case !known && starting:
		// It was spent before this process started.
		grown = 0
	case !known:
		grown = min(grown, bucket.capacity())
	case before.heardAt < sender.resumedAt.UnixNano():
		// Its separate part was reserved for it: of that, only what may be spent since the last
		// refill is charged, and all beyond it.
		share := enforcer.partOf(bucket, sender)
		reserved := share * bucket.limit.PerSecond * sender.silence.Seconds()
		grown = min(grown, max(0, grown-reserved)+share*bucket.capacity())
	}

	bucket.level = min(bucket.capacity(), bucket.level-grown)
	newest := peerUse{count: use[useCount], demand: float32(use[useDemand]), heardAt: now.UnixNano()}
	if len(use) > useShare {
		newest.share = float32(use[useShare])
	}

	bucket.setUse(sender.index, newest)

	// A peer with a fixed share doesn't know the level.
	if starting && !bucket.adopted && len(use) == useLevel+1 && now.Sub(enforcer.startedAt) >= enforcer.unheardTime() {
		bucket.adopted = true
		bucket.level = min(bucket.capacity(), max(bucket.level, use[useLevel]))
	}
}
