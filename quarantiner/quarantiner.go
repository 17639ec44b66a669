package quarantiner

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"limpetrail/kernel"
	"limpetrail/placer"
)

// Quarantiner decides which requests are kept away from backend servers, by what it and
// other entries observed.
type Quarantiner struct {
	kernel.Common
	// Liveness is nil where sidecars tell which servers have ended.
	Liveness Liveness
	// Peers returns the names of the other entries that share their evidence now.
	Peers func() []string

	mutex    sync.Mutex
	suspects map[Subject]*suspect
	answered *answerLog
	// firstRuns counts the runs under way whose servers have not begun to answer, by parts
	// that were not answered before.
	firstRuns map[Subject]int
	// abandoned are in the order in which they were given up.
	abandoned []abandonedRun
	// endings are the ends of servers. checkingEndings holds the servers that are being checked.
	endings         map[Incarnation]ending
	checkingEndings map[Incarnation]bool
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
		Common:    common,
		Liveness:  liveness,
		Peers:     func() []string { return nil },
		suspects:  map[Subject]*suspect{},
		answered:  newAnswerLog(),
		firstRuns: map[Subject]int{},

		endings:         map[Incarnation]ending{},
		checkingEndings: map[Incarnation]bool{},

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
			"RequestID": request.ID, "Service": request.Service, "PromptPart": suspect.subject.Part, "Fingerprint": suspect.subject.Fingerprint, "BackendServer": server.ID, "FailedTrials": suspect.failedTrials,
			"Age": now.Sub(suspect.lastStrikeAt()), "Quiet": !now.Before(suspect.quietAt()),
		}).Info("Trying a quarantined prompt part or request again.")
	}

	run := &Run{quarantiner: quarantiner, request: request, server: server, sentAt: now, tried: tried}

	for _, part := range request.Parts {
		if subject := (Subject{Service: request.Service, Part: part}); !quarantiner.answered.isProven(subject, now) {
			quarantiner.firstRuns[subject]++
			run.first = append(run.first, subject)
		}
	}

	return run, Block{}, false
}
