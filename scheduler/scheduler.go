package scheduler

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	"limpetrail/archiver"
	"limpetrail/kernel"
	"limpetrail/recorder"
)

const (
	tickInterval = time.Second
	// parallelCommits bounds the commits under way at once.
	parallelCommits = 8
	// rememberedEnds bounds the jobs of which the end is remembered to tell
	// sidecars, and the sidecars whose last job is remembered.
	rememberedEnds = 4096
	// cachedFiles bounds the records of files that are kept.
	cachedFiles = 256
)

// Bulk stores and reads segments.
type Bulk interface {
	// Put returns once the data is durable, with its name.
	Put(ctx context.Context, owner string, data []byte) (string, error)
	// Get returns a NotFound error when no holder has the segment.
	Get(ctx context.Context, name, owner string) ([]byte, error)
	// Repair makes sure that enough holders have the segment.
	Repair(ctx context.Context, name, owner string) error
}

var _ Bulk = (*archiver.Archive)(nil)

// Scheduler owns jobs and hands out their items.
type Scheduler struct {
	kernel.Common
	Settings Settings
	Ledger   *Ledger
	Bulk     Bulk
	// Rank is this entry's place in the order in which entries should own the
	// shard; 0 is the first.
	Rank func(shard int) int

	mutex sync.Mutex
	// jobs holds the jobs that this entry owns by ID.
	jobs   map[string]*job
	shards []*shard
	// ended holds the final state of jobs that ended here not long ago.
	ended map[string]State
	// unlisted are ended jobs whose index entry does not say so yet.
	unlisted map[string]Record
	// last holds the job that each sidecar had items of.
	last map[string]string
	// files caches the records of files.
	files map[string]File
	// chunks caches decoded parts of files.
	chunks *cache
	// commits bounds the commits under way.
	commits chan struct{}
}

// Option changes a Scheduler at construction.
type Option func(*Scheduler)

// WithSettings sets the bounds.
func WithSettings(settings Settings) Option {
	return func(scheduler *Scheduler) { scheduler.Settings = settings }
}

// WithRank sets the order of the entries for each shard.
func WithRank(rank func(shard int) int) Option {
	return func(scheduler *Scheduler) { scheduler.Rank = rank }
}

// NewScheduler returns a scheduler that owns nothing until it runs.
func NewScheduler(common kernel.Common, ledger *Ledger, bulk Bulk, options ...Option) *Scheduler {
	scheduler := &Scheduler{
		Common:   common.ForPart("scheduler"),
		Settings: DefaultSettings(),
		Ledger:   ledger,
		Bulk:     bulk,
		Rank:     func(int) int { return 0 },
		jobs:     map[string]*job{},
		ended:    map[string]State{},
		unlisted: map[string]Record{},
		last:     map[string]string{},
		files:    map[string]File{},
		chunks:   newCache(),
		commits:  make(chan struct{}, parallelCommits),
	}
	for _, option := range options {
		option(scheduler)
	}

	for number := range ledger.Shards {
		scheduler.shards = append(scheduler.shards, &shard{number: number, missing: map[string]time.Time{}, swept: time.Now()})
	}

	return scheduler
}

// Run owns shards and commits results until the context ends.
func (scheduler *Scheduler) Run(ctx context.Context) {
	work := sync.WaitGroup{}

	for _, shard := range scheduler.shards {
		work.Go(func() { scheduler.tend(ctx, shard) })
	}

	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()

	for ctx.Err() == nil {
		select {
		case <-ticker.C:
			scheduler.tick(ctx, &work)
		case <-ctx.Done():
		}
	}

	scheduler.flush(context.WithoutCancel(ctx))
	work.Wait()
}

// tick takes back overdue items and starts the commits that are due.
func (scheduler *Scheduler) tick(ctx context.Context, work *sync.WaitGroup) {
	now := time.Now()

	scheduler.mutex.Lock()
	due := []*job{}

	for _, job := range scheduler.jobs {
		scheduler.expire(now, job)

		if scheduler.wantsCommit(now, job) {
			due = append(due, job)
		}
	}

	unlisted := make([]Record, 0, len(scheduler.unlisted))
	for id, record := range scheduler.unlisted {
		unlisted = append(unlisted, record)
		delete(scheduler.unlisted, id)
	}
	scheduler.mutex.Unlock()

	for _, job := range due {
		select {
		case scheduler.commits <- struct{}{}:
			work.Go(func() {
				defer func() { <-scheduler.commits }()

				scheduler.commitLater(ctx, job)
			})
		default:
			// The next tick finds it due again.
		}
	}

	if len(unlisted) > 0 {
		work.Go(func() { scheduler.unlistAll(ctx, unlisted) })
	}
}

// wantsCommit tells whether a job's group is to be committed now, with the
// mutex held.
func (scheduler *Scheduler) wantsCommit(now time.Time, job *job) bool {
	// A commit that is stuck must not use up the places of other jobs.
	if job.lost || now.Before(job.retryCommit) || len(job.committing) > 0 {
		return false
	}

	if job.complete() {
		return true
	}

	age := now.Sub(job.oldest)

	switch results := len(job.buffer); {
	case results >= scheduler.Settings.CommitItems:
		return true
	case results >= scheduler.Settings.CommitLeast:
		return age >= scheduler.Settings.CommitInterval
	default:
		return results > 0 && age >= scheduler.Settings.CommitMost
	}
}

// commitLater commits a group and backs off when that fails.
func (scheduler *Scheduler) commitLater(ctx context.Context, job *job) {
	err := scheduler.commit(ctx, job, nil)
	if err == nil || errors.Is(err, errors.Forbidden) {
		return
	}

	scheduler.Log.WithError(err).WithField("JobID", job.id).Warn("Results wait for a later commit.")

	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()

	job.retryCommit = time.Now().Add(jitter(scheduler.Settings.CallLimit))
}

// expire takes back items whose sidecar gave no sign of life, with the mutex
// held.
func (scheduler *Scheduler) expire(now time.Time, job *job) {
	for index, handed := range job.handed {
		if now.Before(handed.until) {
			continue
		}

		switch {
		case job.idempotent:
			job.giveBack(index)
		case handed.instance == "":
			job.finish(now, Result{Index: index, Fate: ItemMayHaveRun, Reason: "the owner and the sidecar of the item were lost"})
		default:
			// The sidecar may be slow to come back with the answer.
			handed.instance = ""
			handed.until = now.Add(scheduler.Settings.StartedGrace)
		}
	}
}

func (scheduler *Scheduler) unlistAll(ctx context.Context, records []Record) {
	for _, record := range records {
		call, cancel := context.WithTimeout(ctx, scheduler.Settings.CallLimit)
		err := scheduler.unlist(call, record)

		cancel()

		if err != nil {
			scheduler.mutex.Lock()
			scheduler.unlisted[record.ID] = record
			scheduler.mutex.Unlock()
		}
	}
}

// flush commits what is buffered, once, before the process ends.
func (scheduler *Scheduler) flush(ctx context.Context) {
	scheduler.mutex.Lock()
	waiting := []*job{}

	for _, job := range scheduler.jobs {
		if len(job.buffer) > 0 {
			waiting = append(waiting, job)
		}
	}
	scheduler.mutex.Unlock()

	for _, job := range waiting {
		if err := scheduler.commit(ctx, job, nil); err != nil {
			scheduler.Log.WithError(err).Warn("Results are lost with this process; their items run again.")
		}
	}
}

// end remembers the end of a job, with the mutex held.
func (scheduler *Scheduler) end(record Record) {
	if len(scheduler.ended) >= rememberedEnds {
		clear(scheduler.ended)
	}

	scheduler.ended[record.ID] = record.State
	scheduler.unlisted[record.ID] = record
}

// drop gives a job up, with the mutex held.
func (scheduler *Scheduler) drop(id string, job *job) {
	job.lost = true

	if scheduler.jobs[id] == job {
		delete(scheduler.jobs, id)
	}
}

func (scheduler *Scheduler) event(kind recorder.Kind, jobID string, details ...string) {
	scheduler.Recorder.Record(recorder.Event{Part: "scheduler", Kind: kind, JobID: jobID, Details: details})
}

func number(value int) string { return strconv.Itoa(value) }
