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
	// tickInterval is how often assignments and due commits are checked.
	tickInterval = time.Second
	// maxParallelCommits is the largest number of concurrent commits.
	maxParallelCommits = 8
	// maxRememberedJobs bounds the ended jobs that are remembered to inform
	// sidecars, and the sidecars whose last job is remembered.
	maxRememberedJobs = 4096
	// maxCachedFiles bounds the cached records of files.
	maxCachedFiles = 256
)

// SegmentStore stores and reads the segments of files and results.
type SegmentStore interface {
	// Put stores a segment and returns its name once the data is durable.
	Put(ctx context.Context, owner string, data []byte) (string, error)
	// Get returns a NotFound error when no holder has the segment.
	Get(ctx context.Context, name, owner string) ([]byte, error)
	// Repair makes sure that enough holders have the segment.
	Repair(ctx context.Context, name, owner string) error
}

var _ SegmentStore = (*archiver.Archive)(nil)

// Scheduler owns the jobs of the shards that it holds the lease of, and hands out
// their items.
type Scheduler struct {
	kernel.Common
	Settings     Settings
	Ledger       *Ledger
	SegmentStore SegmentStore
	// Rank returns the position of this entry among the entries that may own
	// the shard; the entry with position 0 is preferred.
	Rank func(shard int) int

	mutex sync.Mutex
	// jobs are the jobs that this entry owns, by ID.
	jobs   map[string]*job
	shards []*shard
	// endedStates contains the final states of recently ended jobs, by ID.
	endedStates map[string]State
	// endedUnmarked are ended jobs whose index entry is not marked as ended yet.
	endedUnmarked map[string]Record
	// lastJobs contains the ID of the job that each sidecar last had items of.
	lastJobs map[string]string
	// files caches the records of files by ID.
	files map[string]File
	// chunks caches the decoded lines of file segments.
	chunks *chunkCache
	// commitSlots is a semaphore that bounds concurrent commits.
	commitSlots chan struct{}
}

// Option configures a Scheduler.
type Option func(*Scheduler)

// WithSettings sets the limits and intervals.
func WithSettings(settings Settings) Option {
	return func(scheduler *Scheduler) { scheduler.Settings = settings }
}

// WithRank sets the function that ranks this entry for each shard.
func WithRank(rank func(shard int) int) Option {
	return func(scheduler *Scheduler) { scheduler.Rank = rank }
}

// NewScheduler returns a scheduler that owns no jobs until Run is called.
func NewScheduler(common kernel.Common, ledger *Ledger, segmentStore SegmentStore, options ...Option) *Scheduler {
	scheduler := &Scheduler{
		Common:        common.ForPart("scheduler"),
		Settings:      DefaultSettings(),
		Ledger:        ledger,
		SegmentStore:  segmentStore,
		Rank:          func(int) int { return 0 },
		jobs:          map[string]*job{},
		endedStates:   map[string]State{},
		endedUnmarked: map[string]Record{},
		lastJobs:      map[string]string{},
		files:         map[string]File{},
		chunks:        newChunkCache(),
		commitSlots:   make(chan struct{}, maxParallelCommits),
	}
	for _, option := range options {
		option(scheduler)
	}

	for number := range ledger.ShardCount {
		scheduler.shards = append(scheduler.shards, &shard{number: number, missingSince: map[string]time.Time{}, lastSweep: time.Now()})
	}

	return scheduler
}

// Run acquires shards, takes over their jobs and commits results until the
// context ends.
func (scheduler *Scheduler) Run(ctx context.Context) {
	running := sync.WaitGroup{}

	for _, shard := range scheduler.shards {
		running.Go(func() { scheduler.runShard(ctx, shard) })
	}

	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()

	for ctx.Err() == nil {
		select {
		case <-ticker.C:
			scheduler.tick(ctx, &running)
		case <-ctx.Done():
		}
	}

	scheduler.flushBuffers(context.WithoutCancel(ctx))
	running.Wait()
}

// tick expires assignments and starts the commits that are due.
func (scheduler *Scheduler) tick(ctx context.Context, running *sync.WaitGroup) {
	now := time.Now()

	scheduler.mutex.Lock()
	due := []*job{}

	for _, job := range scheduler.jobs {
		scheduler.expireAssignments(now, job)

		if scheduler.commitDue(now, job) {
			due = append(due, job)
		}
	}

	unmarked := make([]Record, 0, len(scheduler.endedUnmarked))
	for id, record := range scheduler.endedUnmarked {
		unmarked = append(unmarked, record)
		delete(scheduler.endedUnmarked, id)
	}
	scheduler.mutex.Unlock()

	for _, job := range due {
		select {
		case scheduler.commitSlots <- struct{}{}:
			running.Go(func() {
				defer func() { <-scheduler.commitSlots }()

				scheduler.commitOrBackOff(ctx, job)
			})
		default:
			// All slots are in use; the next tick finds the job due again.
		}
	}

	if len(unmarked) > 0 {
		running.Go(func() { scheduler.markIndexEntriesEnded(ctx, unmarked) })
	}
}

// commitDue returns whether the buffered results of the job are to be committed
// now. The caller holds the mutex.
func (scheduler *Scheduler) commitDue(now time.Time, job *job) bool {
	// A job whose commit hangs must not use up the other jobs' commit slots.
	if job.released || now.Before(job.retryCommitAfter) || len(job.committing) > 0 {
		return false
	}

	if job.isComplete() {
		return true
	}

	age := now.Sub(job.bufferedSince)

	switch results := len(job.buffer); {
	case results >= scheduler.Settings.CommitItems:
		return true
	case results >= scheduler.Settings.CommitLeast:
		return age >= scheduler.Settings.CommitInterval
	default:
		return results > 0 && age >= scheduler.Settings.CommitMost
	}
}

// commitOrBackOff commits the buffered results, and delays the next attempt if
// that fails.
func (scheduler *Scheduler) commitOrBackOff(ctx context.Context, job *job) {
	err := scheduler.commit(ctx, job, nil)
	if err == nil || errors.Is(err, errors.Forbidden) {
		return
	}

	scheduler.Log.WithError(err).WithField("JobID", job.id).Warn("Failed to commit results of a job; retrying after a backoff.")

	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()

	job.retryCommitAfter = time.Now().Add(jitter(scheduler.Settings.CallLimit))
}

// expireAssignments ends the assignments of items whose sidecar did not renew
// them in time. The caller holds the mutex.
func (scheduler *Scheduler) expireAssignments(now time.Time, job *job) {
	for index, assigned := range job.assignments {
		if now.Before(assigned.deadline) {
			continue
		}

		switch {
		case job.idempotent:
			job.requeue(index)
		case assigned.instance == "":
			job.bufferResult(now, Result{Index: index, Fate: ItemMayHaveRun, Reason: "the owner and the sidecar of the item were lost"})
		default:
			// The sidecar may still deliver the answer late.
			assigned.instance = ""
			assigned.deadline = now.Add(scheduler.Settings.StartedGrace)
		}
	}
}

// markIndexEntriesEnded marks the index entries of ended jobs, and keeps those
// that fail for the next tick.
func (scheduler *Scheduler) markIndexEntriesEnded(ctx context.Context, records []Record) {
	for _, record := range records {
		callCtx, cancel := context.WithTimeout(ctx, scheduler.Settings.CallLimit)
		err := scheduler.markIndexEntryEnded(callCtx, record)

		cancel()

		if err != nil {
			scheduler.mutex.Lock()
			scheduler.endedUnmarked[record.ID] = record
			scheduler.mutex.Unlock()
		}
	}
}

// flushBuffers commits the buffered results of each job once, before the process
// ends.
func (scheduler *Scheduler) flushBuffers(ctx context.Context) {
	scheduler.mutex.Lock()
	uncommitted := []*job{}

	for _, job := range scheduler.jobs {
		if len(job.buffer) > 0 {
			uncommitted = append(uncommitted, job)
		}
	}
	scheduler.mutex.Unlock()

	for _, job := range uncommitted {
		if err := scheduler.commit(ctx, job, nil); err != nil {
			scheduler.Log.WithError(err).Warn("Failed to commit buffered results at shutdown; their items will run again.")
		}
	}
}

// rememberEnd records that a job ended, to inform sidecars and to mark its index
// entry. The caller holds the mutex.
func (scheduler *Scheduler) rememberEnd(record Record) {
	if len(scheduler.endedStates) >= maxRememberedJobs {
		clear(scheduler.endedStates)
	}

	scheduler.endedStates[record.ID] = record.State
	scheduler.endedUnmarked[record.ID] = record
}

// releaseJob removes a job that this entry no longer owns or that ended. The
// caller holds the mutex.
func (scheduler *Scheduler) releaseJob(id string, job *job) {
	job.released = true

	if scheduler.jobs[id] == job {
		delete(scheduler.jobs, id)
	}
}

func (scheduler *Scheduler) recordEvent(kind recorder.Kind, jobID string, details ...string) {
	scheduler.Recorder.Record(recorder.Event{Part: "scheduler", Kind: kind, JobID: jobID, Details: details})
}

func itoa(value int) string { return strconv.Itoa(value) }
