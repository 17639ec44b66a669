package batcher

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"limpetrail/bookkeeper"
	"limpetrail/forwarder"
	"limpetrail/keeper"
	"limpetrail/kernel"
	"limpetrail/librarian"
	"limpetrail/matcher"
	"limpetrail/placer"
	"limpetrail/sequencer"
)

// Batcher serves jobs: it accepts them, runs the ones it owns and reads all.
type Batcher struct {
	kernel.Common
	Settings Settings
	// Owner names this incarnation of the process.
	Owner         string
	Placer        *placer.Placer
	Backend       forwarder.Backend
	Configuration *matcher.Current
	// Certain tells whether others certainly see this process as live.
	Certain func() bool
	// Depositor is nil where jobs are refused while the service is away.
	Depositor Depositor
	// Conveyer is nil where other processes cannot be handed jobs.
	Conveyer Conveyer
	// Silent tells whether a process is certainly gone or frozen, by what is heard
	// of it without the service. It may be false of one that is.
	Silent func(process string) bool
	// Librarian holds what is known of all jobs.
	Librarian *librarian.Librarian

	ledger bookkeeper.Ledger
	// pace foretells how long items still run.
	pace  *sequencer.Pace
	mutex sync.Mutex
	// members holds the live incarnations.
	members map[string]bool
	// membersAt is the revision of the service that members is as of.
	membersAt keeper.Revision
	// owned holds the work of this process by job.
	owned map[string]*work
	// orphaned is since when a job is seen without an owner.
	orphaned map[string]time.Time
	// overtaken holds the revisions of heads that had changed at a takeover.
	overtaken map[string]keeper.Revision
	// taking holds the jobs whose takeover is under way.
	taking map[string]bool
	// registered tells whether others see this process as live.
	registered bool
	leaving    bool
	// wake asks the dispatcher, listing the committer, to look again.
	wake    chan struct{}
	listing chan struct{}
	running sync.WaitGroup
}

// Settings bound the jobs of a process.
type Settings struct {
	// Retention is how long a job stays readable after it was submitted.
	Retention time.Duration
	// LostDisks is how many disks may be lost at once without losing a job that
	// was accepted while the service was away.
	LostDisks int
	// CommitInterval is how long results are gathered at least before they are
	// listed. A large fleet gathers longer where nothing becomes late by it.
	CommitInterval time.Duration
}

// DefaultSettings are the defaults of every process.
func DefaultSettings() Settings {
	return Settings{Retention: 10 * time.Minute, LostDisks: 1, CommitInterval: 500 * time.Millisecond}
}

// Option changes a Batcher at construction.
type Option func(*Batcher)

// WithInquirer lets readers ask the owners of jobs.
func WithInquirer(inquirer librarian.Inquirer) Option {
	return func(batcher *Batcher) { batcher.Librarian.Inquirer = inquirer }
}

// WithSilence sets what tells that a process is silent.
func WithSilence(silent func(process string) bool) Option {
	return func(batcher *Batcher) { batcher.Silent = silent }
}

// NewBatcher returns a batcher that owns no job.
func NewBatcher(common kernel.Common, client *keeper.CatalogClient, places *placer.Placer, backend forwarder.Backend, configuration *matcher.Current, depositor Depositor, owner string, certain func() bool, settings Settings, options ...Option) *Batcher {
	made := &Batcher{
		Common:        common.ForPart("batcher"),
		Settings:      settings,
		Owner:         owner,
		Placer:        places,
		Backend:       backend,
		Configuration: configuration,
		Depositor:     depositor,
		Certain:       certain,
		Silent:        func(string) bool { return false },
		ledger:        bookkeeper.Ledger{Client: client},
		pace:          sequencer.NewPace(),
		members:       map[string]bool{},
		owned:         map[string]*work{},
		orphaned:      map[string]time.Time{},
		overtaken:     map[string]keeper.Revision{},
		taking:        map[string]bool{},
		wake:          make(chan struct{}, 1),
		listing:       make(chan struct{}, 1),
	}
	made.Librarian = librarian.NewLibrarian(common, made.ledger, owner, made.owns, made.absent)

	for _, option := range options {
		option(made)
	}

	return made
}

// Submit accepts a job, once however often it comes.
func (batcher *Batcher) Submit(ctx context.Context, job bookkeeper.Job) bookkeeper.Outcome {
	if batcher.Librarian.Knows(job.ID) || batcher.holds(job.ID) {
		return bookkeeper.OK
	}

	head := bookkeeper.Head{
		Owner: batcher.Owner, Host: job.Host, Total: len(job.Items),
		Submitted: job.Submitted, Due: job.Due, GiveUp: job.GiveUp,
	}

	// Whoever brings a held job into the service names the process that works on it.
	job.Owner = batcher.Owner

	created, outcome, err := batcher.accept(ctx, job, head)
	batcher.Log.WithFields(logrus.Fields{
		"JobID": job.ID, "Items": len(job.Items), "Outcome": outcome.String(), "Owner": created.Owner, "Error": err,
	}).Info("Job was submitted.")

	if outcome != bookkeeper.OK {
		return outcome
	}

	if created.Revision == 0 {
		batcher.hold(job)

		return bookkeeper.OK
	}

	record := batcher.Librarian.Record(job.ID)
	record.SetHead(created)

	if created.Owner == batcher.Owner && created.Open() {
		record.Offer(job.Items)
		batcher.own(record, job, nil)
	}

	return bookkeeper.OK
}

// Read returns the results of a job from a position on. It waits for one if
// there is none yet.
func (batcher *Batcher) Read(ctx context.Context, id string, after int, wait time.Duration) (librarian.Reading, bookkeeper.Outcome) {
	return batcher.Librarian.Read(ctx, id, after, wait)
}

// owns tells whether all listed results of the job are known here: no other
// process can list any, and nothing that was proposed may have taken effect.
func (batcher *Batcher) owns(id string) bool {
	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()

	owned := batcher.owned[id]

	return owned != nil && owned.claimed && owned.proposed == nil && batcher.registered && batcher.Certain()
}

// Body returns the body of an item.
func (batcher *Batcher) Body(ctx context.Context, id, item string) ([]byte, bookkeeper.Outcome) {
	record, outcome := batcher.Librarian.Find(ctx, id)
	if outcome != bookkeeper.OK {
		return nil, outcome
	}

	items, err := record.Load(ctx, batcher.ledger)
	if err != nil {
		return nil, bookkeeper.NotDone
	}

	for _, candidate := range items {
		if candidate.ID == item {
			return candidate.Body, bookkeeper.OK
		}
	}

	return nil, bookkeeper.NotFound
}

// End stops a job. Its results stay.
func (batcher *Batcher) End(ctx context.Context, id string) bookkeeper.Outcome {
	record, outcome := batcher.Librarian.Find(ctx, id)
	if outcome != bookkeeper.OK {
		return outcome
	}

	before := record.Head()

	for !before.Ended {
		head := before.Head
		head.Ended = true

		after, applied, err := batcher.ledger.Replace(ctx, id, before, head)
		if err != nil {
			batcher.Log.WithField("JobID", id).WithError(err).Info("Job cannot be ended.")

			return bookkeeper.NotDone
		}

		if after.Revision == 0 {
			return bookkeeper.NotFound
		}

		record.SetHead(after)

		if applied {
			batcher.Log.WithField("JobID", id).Info("Job was ended.")
		}

		before = after
	}

	batcher.disown(id, "The job was ended.")

	return bookkeeper.OK
}

// own starts the work on a job whose head names this process.
func (batcher *Batcher) own(record *librarian.Record, job bookkeeper.Job, partials map[string]bookkeeper.Partial) {
	batcher.begin(record, job, &Handover{Partials: partials}, true)
}

// disown stops the work on a job.
func (batcher *Batcher) disown(id, reason string) {
	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()

	batcher.drop(id, reason)
}

func (batcher *Batcher) drop(id, reason string) {
	owned := batcher.owned[id]
	if owned == nil {
		return
	}

	delete(batcher.owned, id)
	owned.cancel()
	batcher.Log.WithFields(logrus.Fields{"JobID": id, "Reason": reason, "Unlisted": len(owned.finished)}).Info("Work on a job stops here.")
}

// poke asks a duty to look again. A request that is pending already is enough.
func poke(duty chan struct{}) {
	select {
	case duty <- struct{}{}:
	default:
	}
}

// errNotOwner is the cause of work on a job that has another owner by now.
var errNotOwner = errors.New("the job has another owner")
