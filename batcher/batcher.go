package batcher

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"limpetrail/attester"
	"limpetrail/bookkeeper"
	"limpetrail/forwarder"
	"limpetrail/keeper"
	"limpetrail/kernel"
	"limpetrail/librarian"
	"limpetrail/matcher"
	"limpetrail/placer"
	"limpetrail/quarantiner"
	"limpetrail/sequencer"
)

// Batcher accepts jobs, runs those that this process owns and reads the results of any job.
type Batcher struct {
	kernel.Common
	Settings Settings
	// ProcessID identifies this incarnation of the process. Heads name it as the owner.
	ProcessID     string
	Placer        *placer.Placer
	Backend       forwarder.Backend
	Quarantiner   *quarantiner.Quarantiner
	Attester      *attester.Attester
	Configuration *matcher.CurrentDocument
	// RegistrationValid tells whether all other processes still see this one as registered.
	RegistrationValid func() bool
	// Depositor stores jobs while the key-value service is unavailable. If it is
	// nil, jobs are refused then.
	Depositor Depositor
	// Conveyer hands jobs over to other processes. It is nil if that is not possible.
	Conveyer Conveyer
	// IsSilent tells whether a process has certainly stopped or is frozen, judged by
	// its load reports. It may return false for one that has stopped.
	IsSilent func(process string) bool
	// Librarian caches heads, items and results of jobs.
	Librarian *librarian.Librarian

	ledger bookkeeper.Ledger
	// runTimeEstimator estimates how long items still have to run.
	runTimeEstimator *sequencer.RunTimeEstimator
	mutex            sync.Mutex
	// members holds the registered incarnations.
	members map[string]bool
	// membersRevision is the revision of the key-value service at which members was read.
	membersRevision keeper.Revision
	// active holds the jobs that this process runs, by ID.
	active map[string]*activeJob
	// orphanedSince is when a job was first seen without an owner.
	orphanedSince map[string]time.Time
	// supersededHeads holds, by job ID, the revisions of heads that had changed in the
	// key-value service when this process tried to take over their jobs.
	supersededHeads map[string]keeper.Revision
	// takingOver holds the jobs whose takeover is in progress.
	takingOver map[string]bool
	// registered tells whether members contains this process.
	registered bool
	// trying is the suspected item that is tried now; nil if there is none.
	trying  *task
	leaving bool
	// dispatchSignal and commitSignal wake the loops that start items and commit results.
	dispatchSignal chan struct{}
	commitSignal   chan struct{}
	attempts       sync.WaitGroup
}

// Settings configure the batch jobs of a process.
type Settings struct {
	// Retention is how long a job stays readable after it was submitted.
	Retention time.Duration
	// LostDisks is how many disks may fail at once without losing a job that was
	// accepted while the key-value service was unavailable.
	LostDisks int
	// CommitInterval is the minimum time for which results are collected before
	// they are committed together. A large fleet collects for longer, unless a job
	// would become late.
	CommitInterval time.Duration
}

// DefaultSettings returns the default settings of a process.
func DefaultSettings() Settings {
	return Settings{Retention: 10 * time.Minute, LostDisks: 1, CommitInterval: 500 * time.Millisecond}
}

// Option changes a Batcher at construction.
type Option func(*Batcher)

// WithInquirer lets reads of a job query its owner.
func WithInquirer(inquirer librarian.Inquirer) Option {
	return func(batcher *Batcher) { batcher.Librarian.Inquirer = inquirer }
}

// WithSilenceCheck sets the check for processes that have stopped reporting.
func WithSilenceCheck(isSilent func(process string) bool) Option {
	return func(batcher *Batcher) { batcher.IsSilent = isSilent }
}

// WithAttester shares the inquiries for the starts of servers with others.
func WithAttester(starts *attester.Attester) Option {
	return func(batcher *Batcher) { batcher.Attester = starts }
}

// NewBatcher returns a batcher without jobs.
func NewBatcher(common kernel.Common, client *keeper.CatalogClient, places *placer.Placer, backend forwarder.Backend, quarantine *quarantiner.Quarantiner, configuration *matcher.CurrentDocument, depositor Depositor, processID string, registrationValid func() bool, settings Settings, options ...Option) *Batcher {
	batcher := &Batcher{
		Common:            common.ForPart("batcher"),
		Settings:          settings,
		ProcessID:         processID,
		Placer:            places,
		Backend:           backend,
		Quarantiner:       quarantine,
		Attester:          attester.NewAttester(common, backend),
		Configuration:     configuration,
		Depositor:         depositor,
		RegistrationValid: registrationValid,
		IsSilent:          func(string) bool { return false },
		ledger:            bookkeeper.Ledger{Client: client},
		runTimeEstimator:  sequencer.NewRunTimeEstimator(),
		members:           map[string]bool{},
		active:            map[string]*activeJob{},
		orphanedSince:     map[string]time.Time{},
		supersededHeads:   map[string]keeper.Revision{},
		takingOver:        map[string]bool{},
		dispatchSignal:    make(chan struct{}, 1),
		commitSignal:      make(chan struct{}, 1),
	}
	batcher.Librarian = librarian.NewLibrarian(common, batcher.ledger, processID, batcher.isAuthoritative, batcher.isAbsent)

	for _, option := range options {
		option(batcher)
	}

	return batcher
}

// Submit accepts a job. Submitting the same job again has no effect.
func (batcher *Batcher) Submit(ctx context.Context, job bookkeeper.Job) bookkeeper.Outcome {
	return batcher.SubmitBy(ctx, bookkeeper.Reader{}, job)
}

// SubmitBy is Submit for a caller that must not take a job that it may not read for its own.
func (batcher *Batcher) SubmitBy(ctx context.Context, submitter bookkeeper.Reader, job bookkeeper.Job) bookkeeper.Outcome {
	if workspace, exists := batcher.workspaceOf(job.ID); exists {
		return outcomeOfPresent(submitter, workspace)
	}

	// A custodian that delivers the job to the key-value service records this
	// process as its owner.
	job.Owner = batcher.ProcessID

	created, outcome, err := batcher.persist(ctx, job, bookkeeper.NewHead(job))
	batcher.Log.WithFields(logrus.Fields{
		"JobID": job.ID, "Items": len(job.Items), "Outcome": outcome.String(), "Owner": created.Owner, "Error": err,
	}).Info("Job was submitted.")

	if outcome != bookkeeper.OK {
		return outcome
	}

	if created.Revision > 0 && !submitter.MayRead(created.Workspace) {
		return bookkeeper.Occupied
	}

	if created.Revision == 0 {
		batcher.startDeposited(job)

		return bookkeeper.OK
	}

	record := batcher.Librarian.Record(job.ID)
	record.SetHead(created)

	if created.Owner == batcher.ProcessID && created.IsOpen() {
		record.SetItems(job.Items)
		batcher.startOwned(record, job, nil)
	}

	return bookkeeper.OK
}

// workspaceOf returns the workspace of a job that certainly exists, and whether there is one.
func (batcher *Batcher) workspaceOf(id string) (string, bool) {
	if head := batcher.Librarian.KnownHead(id); head.Revision > 0 {
		return head.Workspace, true
	}

	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()

	active := batcher.active[id]
	if active == nil || active.previousOwner != "" {
		return "", false
	}

	return active.job.Workspace, true
}

// outcomeOfPresent returns the outcome of submitting a job whose ID a job of the workspace has.
func outcomeOfPresent(submitter bookkeeper.Reader, workspace string) bookkeeper.Outcome {
	if submitter.MayRead(workspace) {
		return bookkeeper.OK
	}

	return bookkeeper.Occupied
}

// CheckReader returns OK if the job exists and the reader may read it, and NotFound if either is not so.
func (batcher *Batcher) CheckReader(ctx context.Context, id string, reader bookkeeper.Reader) bookkeeper.Outcome {
	_, outcome := batcher.Librarian.FindFor(ctx, id, reader)

	return outcome
}

// ReadResults returns the results of a job from a position on. If there are none yet, it
// waits for the first one.
func (batcher *Batcher) ReadResults(ctx context.Context, id string, after int, wait time.Duration) (librarian.ResultsPage, bookkeeper.Outcome) {
	return batcher.Librarian.Read(ctx, id, after, wait)
}

// isAuthoritative tells whether this process knows all committed results of the job:
// no other process can commit any, and no commit of its own has an unknown outcome.
func (batcher *Batcher) isAuthoritative(id string) bool {
	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()

	active := batcher.active[id]

	return active != nil && active.claimed && active.proposed == nil && batcher.registered && batcher.RegistrationValid()
}

// ItemBody returns the request body of an item.
func (batcher *Batcher) ItemBody(ctx context.Context, id, item string) ([]byte, bookkeeper.Outcome) {
	record, outcome := batcher.Librarian.Find(ctx, id)
	if outcome != bookkeeper.OK {
		return nil, outcome
	}

	items, err := record.LoadItems(ctx, batcher.ledger)
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

// EndJob marks a job as ended and stops it. Results that are committed stay readable.
func (batcher *Batcher) EndJob(ctx context.Context, id string) bookkeeper.Outcome {
	record, outcome := batcher.Librarian.Find(ctx, id)
	if outcome != bookkeeper.OK {
		return outcome
	}

	current := record.Head()

	for !current.Ended {
		head := current.Head
		head.Ended = true

		updated, applied, err := batcher.ledger.Replace(ctx, id, current, head)
		if err != nil {
			batcher.Log.WithField("JobID", id).WithError(err).Info("Job could not be marked as ended.")

			if errors.Is(err, bookkeeper.ErrUnknown) {
				return bookkeeper.Unknown
			}

			return bookkeeper.NotDone
		}

		if updated.Revision == 0 {
			return bookkeeper.NotFound
		}

		record.SetHead(updated)

		if applied {
			batcher.Log.WithField("JobID", id).Info("Job was ended.")
		}

		current = updated
	}

	batcher.stop(id, "The job was ended.")

	return bookkeeper.OK
}

// startOwned starts a job whose head names this process as the owner.
func (batcher *Batcher) startOwned(record *librarian.Record, job bookkeeper.Job, partials map[string]bookkeeper.Partial) {
	batcher.startJob(record, job, &Handover{Partials: partials}, true)
}

// stop stops running a job in this process.
func (batcher *Batcher) stop(id, reason string) {
	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()

	batcher.stopLocked(id, reason)
}

// stopLocked is stop for callers that hold the mutex.
func (batcher *Batcher) stopLocked(id, reason string) {
	active := batcher.active[id]
	if active == nil {
		return
	}

	delete(batcher.active, id)
	active.cancel()
	batcher.Log.WithFields(logrus.Fields{"JobID": id, "Reason": reason, "Unlisted": len(active.uncommitted)}).Info("Stopped running a job in this process.")
}

// signal wakes the loop that reads the channel, unless a signal is already pending.
func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// errNotOwner is the reason for stopping a job that has another owner now, or is not open.
var errNotOwner = errors.New("the job has another owner")
