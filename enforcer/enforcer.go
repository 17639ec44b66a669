package enforcer

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"limpetrail/kernel"
	"limpetrail/matcher"
)

const (
	// ReportInterval is the longest time between two reports of a gateway in a small fleet that
	// has caps. Three of them may pass before a peer counts as silent.
	ReportInterval = 100 * time.Millisecond
	// maxReportInterval is that time in a large fleet.
	maxReportInterval = 400 * time.Millisecond
	// datagramsPerSecond is the gossiper's bound, from which the interval of a fleet follows.
	datagramsPerSecond = 400
	// missedReports in a row make a peer silent, after at least minSilence and at most maxSilence.
	missedReports = 3
	minSilence    = 150 * time.Millisecond
	maxSilence    = time.Second
	// transitTime is how long a report may be under way.
	transitTime = 60 * time.Millisecond
	// startTime is how long a process asks its peers for levels, and how long counts that it
	// hears first are taken as spent before its start.
	startTime = 3 * time.Second
	// deafTime is how long a peer's statement that it doesn't hear this gateway holds. Long lists
	// of such peers are spread over several reports.
	deafTime = 2 * time.Second
	// activeOfTokens is the part of the tokens, with those that are tolerated beyond them, that gateways of
	// a large fleet may admit before they hear of each other.
	activeOfTokens = 0.5
	// minRetryAfter bounds the Retry-After of refusals from below.
	minRetryAfter = 10 * time.Millisecond
)

// Enforcer decides which requests are within the caps of their workspaces. It is safe for
// concurrent use.
type Enforcer struct {
	kernel.Common
	Settings Settings
	// Registered tells whether the other gateways still see this process in the list of members.
	Registered func() bool

	mutex   sync.Mutex
	buckets map[string]*bucket
	peers   map[string]*peer
	// names holds the names of buckets in order; cursor is the next one of the rotation.
	names  []string
	cursor int
	// unheardCursor is the position in the list of silent peers for the next report.
	unheardCursor int
	// mostGateways is the largest number of gateways known so far. Parts of Slack are divided by it:
	// a gateway that is dropped as a peer may still spend its part.
	mostGateways int
	// listed is true once the list of members is known.
	listed bool
	// startedAt is the time of the first call.
	startedAt time.Time
	// peerStartedAt is when a peer last reported that it starts.
	peerStartedAt time.Time
	// divided is true while some peer is not heard, so that each gateway keeps to its own part.
	divided bool
	// refreshedAt is when the state of the peers was last brought up to date.
	refreshedAt time.Time
	// ended holds the processes that reported their end, by name, as long as they are listed.
	ended map[string]string
	// isolatedAdmissions are the times of admissions by workspace while this gateway can be
	// neither seen nor heard.
	isolatedAdmissions map[string][]time.Time
	// rotatedAt is when ended refusals were last logged.
	rotatedAt time.Time
}

// Option changes an enforcer.
type Option func(*Enforcer)

// WithRegistration sets how the enforcer learns whether the process is registered.
func WithRegistration(registered func() bool) Option {
	return func(enforcer *Enforcer) { enforcer.Registered = registered }
}

// NewEnforcer returns an enforcer without caps.
func NewEnforcer(common kernel.Common, settings Settings, options ...Option) *Enforcer {
	enforcer := &Enforcer{
		Common:             common.ForPart("enforcer"),
		Settings:           settings,
		Registered:         func() bool { return true },
		buckets:            map[string]*bucket{},
		peers:              map[string]*peer{},
		mostGateways:       1,
		isolatedAdmissions: map[string][]time.Time{},
		ended:              map[string]string{},
	}
	for _, option := range options {
		option(enforcer)
	}

	return enforcer
}

// SetCaps replaces the caps by those of the workspaces. The bucket of a new cap was empty when the process
// started, before which it may have spent all tokens, and has been filled since.
func (enforcer *Enforcer) SetCaps(workspaces map[string]*matcher.Workspace) {
	enforcer.mutex.Lock()
	defer enforcer.mutex.Unlock()

	if enforcer.Settings.Window <= 0 {
		return
	}

	for name, workspace := range workspaces {
		if enforcer.buckets[name] == nil {
			enforcer.buckets[name] = newBucket(enforcer.startedAt)
		}

		enforcer.buckets[name].setLimit(workspace.Cap, enforcer.Settings.spare(workspace.Cap))
	}

	maps.DeleteFunc(enforcer.buckets, func(name string, _ *bucket) bool {
		return workspaces[name] == nil || !workspaces[name].Cap.Limited()
	})

	enforcer.names, enforcer.cursor = slices.Sorted(maps.Keys(enforcer.buckets)), 0
}

// Active reports whether there are caps to enforce.
func (enforcer *Enforcer) Active() bool {
	enforcer.mutex.Lock()
	defer enforcer.mutex.Unlock()

	return len(enforcer.buckets) > 0
}

// Admit decides about a request of a workspace. Time must not go backwards by more than a few
// milliseconds between calls.
func (enforcer *Enforcer) Admit(workspace string, now time.Time) Verdict {
	enforcer.mutex.Lock()
	defer enforcer.mutex.Unlock()

	bucket := enforcer.buckets[workspace]
	if bucket == nil {
		return Verdict{Admitted: true}
	}

	enforcer.refreshPeers(now)

	share := enforcer.advance(bucket, now)
	bucket.demand += 1 / demandTime.Seconds()
	bucket.dirty = true

	verdict := enforcer.decide(workspace, bucket, share, now)
	if verdict.Admitted {
		bucket.spend()
	}

	enforcer.logRefusals(workspace, bucket, verdict, now)

	return verdict
}

func (enforcer *Enforcer) decide(workspace string, bucket *bucket, share float64, now time.Time) Verdict {
	if enforcer.isolated() {
		return enforcer.admitIsolated(workspace, now)
	}

	// The pause after which a token is there; 0 if there is one.
	pause := seconds((1 - bucket.level) / bucket.limit.PerSecond)
	beyond := enforcer.beyondPart(bucket)

	if enforcer.divided {
		pause = max(pause, seconds((1-bucket.private-beyond)/(share*bucket.limit.PerSecond)))
	} else if missing := bucket.recentSum + 1 - beyond - share*(max(0, bucket.level)+bucket.recentSum); missing > 0 {
		pause = max(pause, bucket.untilForgotten(missing, enforcer.unheardTime()), seconds(missing/(share*bucket.limit.PerSecond)/2))
	}

	if pause <= 0 {
		return Verdict{Admitted: true}
	}

	return Verdict{RetryAfter: max(pause, minRetryAfter)}
}

// beyondPart is how many requests a gateway may admit beyond its part while peers have not heard
// of it.
func (enforcer *Enforcer) beyondPart(bucket *bucket) float64 {
	part := enforcer.Settings.beyond(bucket.limit) / float64(enforcer.mostGateways)

	// In a large fleet the part is below one request, and so is the share of most workspaces' tokens. The
	// gateways that peers know to have callers of the workspace may admit one each as long as all of
	// these are far below what there is.
	if part < 1 && bucket.settled > 0 && float64(bucket.activePeers+1) <= activeOfTokens*(max(0, bucket.level)+enforcer.Settings.tolerated(bucket.limit)) {
		return 1
	}

	return part
}

// admitIsolated decides at a gateway for which the others no longer reserve anything.
func (enforcer *Enforcer) admitIsolated(workspace string, now time.Time) Verdict {
	window := enforcer.Settings.Window
	recent := slices.DeleteFunc(enforcer.isolatedAdmissions[workspace], func(at time.Time) bool { return now.Sub(at) > window })
	enforcer.isolatedAdmissions[workspace] = recent

	limit := 0
	if enforcer.listed {
		limit = int(isolatedOfSlack * enforcer.Settings.Slack / float64(enforcer.mostGateways))
	}

	switch {
	case len(recent) < limit:
		enforcer.isolatedAdmissions[workspace] = append(recent, now)

		return Verdict{Admitted: true}
	case limit > 0:
		return Verdict{RetryAfter: max(minRetryAfter, window-now.Sub(recent[0]))}
	default:
		return Verdict{RetryAfter: maxSilence}
	}
}

// Refund takes back an admitted request that has not run.
func (enforcer *Enforcer) Refund(workspace string) {
	enforcer.mutex.Lock()
	defer enforcer.mutex.Unlock()

	if bucket := enforcer.buckets[workspace]; bucket != nil {
		bucket.refund()
	}

	if admissions := enforcer.isolatedAdmissions[workspace]; len(admissions) > 0 {
		enforcer.isolatedAdmissions[workspace] = admissions[:len(admissions)-1]
	}
}

// advance brings a bucket up to date and returns this gateway's share of it.
func (enforcer *Enforcer) advance(bucket *bucket, now time.Time) float64 {
	share := bucket.share(now, enforcer.unheardTime(), enforcer.gateways())
	bucket.advance(now, share)
	bucket.expireRecent(now, enforcer.unheardTime())

	return share
}

// gateways is the number of gateways that share the caps, this one included.
func (enforcer *Enforcer) gateways() int {
	return len(enforcer.peers) + 1
}

// silence is the time without reports after which a peer is silent.
func (enforcer *Enforcer) silence() time.Duration {
	interval := kernel.FleetPause(ReportInterval, maxReportInterval, len(enforcer.peers), datagramsPerSecond)

	return min(max(missedReports*interval, minSilence), maxSilence)
}

// unheardTime is the time after which peers have heard of an admission, or this gateway has
// noticed that some do not.
func (enforcer *Enforcer) unheardTime() time.Duration {
	return enforcer.silence() + ReportInterval + transitTime
}

func seconds(value float64) time.Duration {
	return time.Duration(min(value, math.MaxInt32) * float64(time.Second))
}
