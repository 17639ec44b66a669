package quarantiner

import (
	"context"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"limpetrail/kernel"
	"limpetrail/placer"
)

const (
	// trialTimeout is how long a trial may keep other requests with the part waiting.
	trialTimeout = 5 * time.Second
	// trialStagger is the time between the turns of two entries to try a part again. The
	// others have heard of a trial by then.
	trialStagger = 500 * time.Millisecond
	// firstRunPause is when a request that waits for the first run of a part is looked at
	// again; servers begin to answer within about that time.
	firstRunPause = 100 * time.Millisecond
	// maxSuspects bounds the parts that are kept.
	maxSuspects = 1024
	// maxAnswered bounds the parts that are known to be answered.
	maxAnswered = 4096
	// suspicionLifetime is how long strikes that are too few count, and how long refuted
	// ones, and answers to requests with a part, are remembered.
	suspicionLifetime = 10 * time.Minute
	// quarantineMemory is how long a quarantined part is kept of which no request comes.
	quarantineMemory = time.Hour
)

// Liveness tells whether backend servers run.
type Liveness interface {
	// HasEnded reports whether the server's process has certainly ended.
	HasEnded(ctx context.Context, server placer.Server) bool
}

// Quarantiner decides which requests are kept away from backend servers, by what it and
// other entries observed.
type Quarantiner struct {
	kernel.Common
	Liveness Liveness
	// Peers returns the names of the other entries that share their evidence now.
	Peers func() []string

	mutex    sync.Mutex
	suspects map[Subject]*suspect
	// answered holds when servers last began to answer requests with each part.
	answered map[Subject]time.Time
	// firstRuns counts the runs under way whose servers have not begun to answer, by parts
	// that were not answered before.
	firstRuns map[Subject]int
	// revision counts the changes of the evidence.
	revision int
	// findingsCursor and findingsAt are of the last findings with all quarantined parts.
	findingsCursor int
	findingsAt     time.Time

	strikes, refusals, trials tally.Counter
	quarantined               tally.Gauge
}

// Option changes a Quarantiner at construction.
type Option func(*Quarantiner)

// WithPeers sets the function that names the other entries.
func WithPeers(peers func() []string) Option {
	return func(quarantiner *Quarantiner) { quarantiner.Peers = peers }
}

// NewQuarantiner returns a quarantiner that suspects nothing.
func NewQuarantiner(common kernel.Common, liveness Liveness, options ...Option) *Quarantiner {
	common = common.ForPart("quarantiner")
	quarantiner := &Quarantiner{
		Common:      common,
		Liveness:    liveness,
		Peers:       func() []string { return nil },
		suspects:    map[Subject]*suspect{},
		answered:    map[Subject]time.Time{},
		firstRuns:   map[Subject]int{},
		strikes:     common.Metrics.Counter("strikes"),
		refusals:    common.Metrics.Counter("refusals"),
		trials:      common.Metrics.Counter("trials"),
		quarantined: common.Metrics.Gauge("quarantined"),
	}

	for _, option := range options {
		option(quarantiner)
	}

	return quarantiner
}

// Block is why a request may not be sent.
type Block struct {
	// Part is the part of the prompt for which the request is blocked.
	Part string
	// Quarantined is false if the part is only being run for the first time.
	Quarantined bool
	// RetryAfter is when a request with the part may be sent again at the earliest.
	RetryAfter time.Duration
}

// Check reports whether a request may be sent now, without sending it.
func (quarantiner *Quarantiner) Check(request Request) (Block, bool) {
	quarantiner.mutex.Lock()
	defer quarantiner.mutex.Unlock()

	now := time.Now()
	quarantiner.recordAsked(request, now)

	block, _, blocked := quarantiner.check(request, now)

	return block, blocked
}

// Start records that a request is being sent to a server, unless it is blocked. A run must
// be closed.
func (quarantiner *Quarantiner) Start(request Request, server placer.Server) (*Run, Block, bool) {
	quarantiner.mutex.Lock()
	defer quarantiner.mutex.Unlock()

	now := time.Now()

	block, tried, blocked := quarantiner.check(request, now)
	if blocked {
		return nil, block, true
	}

	for _, suspect := range tried {
		suspect.trialEndsAt, suspect.changedAt = now.Add(trialTimeout), now

		quarantiner.trials.Inc(1)
		quarantiner.Log.WithFields(logrus.Fields{
			"RequestID": request.ID, "Service": request.Service, "PromptPart": suspect.subject.Part, "BackendServer": server.ID, "FailedTrials": suspect.failedTrials,
			"Age": now.Sub(suspect.lastStrikeAt()), "Quiet": suspect.isQuiet(now),
		}).Info("Trying a quarantined prompt part again.")
	}

	run := &Run{quarantiner: quarantiner, request: request, server: server, sentAt: now, tried: tried}

	for _, part := range request.Parts {
		if subject := (Subject{Service: request.Service, Part: part}); !quarantiner.isProven(subject, now) {
			quarantiner.firstRuns[subject]++
			run.first = append(run.first, subject)
		}
	}

	return run, Block{}, false
}

// recordAsked records that a request with quarantined parts came. The mutex must be held.
func (quarantiner *Quarantiner) recordAsked(request Request, now time.Time) {
	if request.Waiting {
		return
	}

	for _, part := range request.Parts {
		suspect := quarantiner.suspects[Subject{Service: request.Service, Part: part}]
		if suspect != nil {
			suspect.askedAt = now
		}
	}
}

// check returns the block of a request or, if it may be sent, the quarantined parts that it
// tries again. The mutex must be held.
func (quarantiner *Quarantiner) check(request Request, now time.Time) (Block, []*suspect, bool) {
	if block, blocked := quarantiner.checkFirstRuns(request, now); blocked {
		return block, nil, true
	}

	longest, tried := Block{}, []*suspect(nil)

	for _, part := range request.Parts {
		suspect := quarantiner.suspects[Subject{Service: request.Service, Part: part}]
		if suspect == nil || !quarantiner.isQuarantined(suspect) {
			continue
		}

		wait := max(quarantiner.turn(suspect, now).Sub(now), suspect.trialUnderWay().Sub(now))
		if wait <= 0 {
			tried = append(tried, suspect)

			continue
		}

		if wait > longest.RetryAfter {
			longest = Block{Part: part, Quarantined: true, RetryAfter: wait}
		}
	}

	if longest.Part != "" {
		quarantiner.refusals.Inc(1)

		return longest, nil, true
	}

	return Block{}, tried, false
}

// checkFirstRuns blocks a patient request while another one is the first to run one of its
// parts, so that a deadly part ends one server and not one for each request of a job. The
// mutex must be held.
func (quarantiner *Quarantiner) checkFirstRuns(request Request, now time.Time) (Block, bool) {
	if !request.Patient {
		return Block{}, false
	}

	for _, part := range request.Parts {
		subject := Subject{Service: request.Service, Part: part}
		if quarantiner.firstRuns[subject] > 0 && !quarantiner.isProven(subject, now) {
			return Block{Part: part, RetryAfter: firstRunPause}, true
		}
	}

	return Block{}, false
}

// isProven reports whether servers have answered requests with the part lately. The mutex
// must be held.
func (quarantiner *Quarantiner) isProven(subject Subject, now time.Time) bool {
	answeredAt, answered := quarantiner.answered[subject]

	return answered && now.Sub(answeredAt) < suspicionLifetime
}

// turn returns when this entry may try a quarantined part again. The entries take turns in
// an order that all compute alike, so that one trial is made, by any that gets a request.
func (quarantiner *Quarantiner) turn(suspect *suspect, now time.Time) time.Time {
	own, before := rankOf(quarantiner.Instance, suspect.subject), 0

	for _, peer := range quarantiner.Peers() {
		if rankOf(peer, suspect.subject) > own {
			before++
		}
	}

	return suspect.releaseAt(now).Add(time.Duration(before) * trialStagger)
}

// rankOf orders the entries for a subject by rendezvous hashing.
func rankOf(entry string, subject Subject) uint64 {
	hash := fnv.New64a()
	// Write of a hash never returns an error.
	_, _ = hash.Write([]byte(entry + "\n" + subject.Service + "\n" + subject.Part))

	return hash.Sum64()
}

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

// suspectFor returns the suspect of a subject, and creates it if there is none. The mutex
// must be held.
func (quarantiner *Quarantiner) suspectFor(subject Subject, now time.Time) *suspect {
	known := quarantiner.suspects[subject]
	if known == nil {
		quarantiner.prune(now)

		known = &suspect{subject: subject, judgedAt: -1, proven: quarantiner.isProven(subject, now)}
		quarantiner.suspects[subject] = known
	}

	return known
}

// prune drops parts whose evidence is too old, and the oldest if there are too many. The
// mutex must be held.
func (quarantiner *Quarantiner) prune(now time.Time) {
	var oldest *suspect

	for subject, known := range quarantiner.suspects {
		lifetime := suspicionLifetime
		if quarantiner.isQuarantined(known) {
			lifetime = quarantineMemory
		}

		if now.Sub(known.changedAt) > lifetime {
			quarantiner.forget(subject, "old")
		} else if oldest == nil || quarantiner.precedes(known, oldest) {
			oldest = known
		}
	}

	if len(quarantiner.suspects) >= maxSuspects {
		quarantiner.forget(oldest.subject, "too many")
	}
}

// precedes reports whether a part is forgotten before another one.
func (quarantiner *Quarantiner) precedes(known, other *suspect) bool {
	if quarantiner.isQuarantined(known) != quarantiner.isQuarantined(other) {
		return quarantiner.isQuarantined(other)
	}

	return known.changedAt.Before(other.changedAt)
}

func (quarantiner *Quarantiner) forget(subject Subject, reason string) {
	if quarantiner.isQuarantined(quarantiner.suspects[subject]) {
		quarantiner.Log.WithFields(logrus.Fields{"Service": subject.Service, "PromptPart": subject.Part, "Reason": reason}).Warn("Quarantined prompt part is forgotten.")
	}

	delete(quarantiner.suspects, subject)

	quarantiner.revision++
}

// update applies a change of the evidence and logs which parts are quarantined by it, or no
// longer are. The mutex must be held.
func (quarantiner *Quarantiner) update(source string, change func()) {
	before := map[Subject]bool{}
	for subject, known := range quarantiner.suspects {
		before[subject] = quarantiner.isQuarantined(known)
	}

	change()

	quarantiner.revision++

	count := 0

	for subject, known := range quarantiner.suspects {
		now := quarantiner.isQuarantined(known)
		if now {
			count++
		}

		if now == before[subject] {
			continue
		}

		entry := quarantiner.Log.WithFields(logrus.Fields{
			"Service": subject.Service, "PromptPart": subject.Part, "Source": source, "Strikes": len(known.strikes), "FailedTrials": known.failedTrials,
		})

		if now {
			entry.WithFields(logrus.Fields{"Servers": known.servers(), "Release": time.Until(known.releaseAt(time.Now()))}).Warn("Prompt part is quarantined.")
		} else {
			entry.Info("Prompt part is no longer quarantined.")
		}
	}

	quarantiner.quarantined.Update(float64(count))
}
