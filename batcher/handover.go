package batcher

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"limpetrail/bookkeeper"
)

const (
	// handoverTimeout bounds one handover. It suffices to transfer a job of some
	// megabytes between data centres.
	handoverTimeout = 400 * time.Millisecond
	// totalHandoverTime bounds all handovers at a planned stop; the rest of the time is
	// for writes to the key-value service.
	totalHandoverTime = shutdownTimeout / 2
	// maxSuccessors bounds how many processes are offered a job. More than one is
	// tried because a successor may be stopping, too.
	maxSuccessors = 3
)

// Handover is a job that a stopping process hands over to another one.
type Handover struct {
	Job bookkeeper.Job
	// Head is the newest head that the sender knows. Its revision is 0 while only
	// custodians store the job.
	Head bookkeeper.VersionedHead
	// From is the owner that the head names, or will name once a custodian delivers
	// the job. It no longer runs the job.
	From string
	// Partials is the partial output of unfinished items, by item ID.
	Partials map[string]bookkeeper.Partial
	// Finished holds results that are not known to be committed.
	Finished []bookkeeper.Result
}

// Validate returns an error if a received handover is not valid.
func (handover Handover) Validate() error {
	if err := handover.Job.Validate(); err != nil {
		return err
	}

	expected := map[string]bool{}
	for _, item := range handover.Job.Items {
		expected[item.ID] = true
	}

	for _, result := range handover.Finished {
		if !expected[result.ID] {
			return errors.NotValidf("results: each is of an item of the job, once; item %q", result.ID)
		}

		delete(expected, result.ID)
	}

	return nil
}

// Conveyer hands jobs over to other processes.
type Conveyer interface {
	// HandOver hands a job over to a process, and tells whether that one accepted it.
	HandOver(ctx context.Context, process string, handover Handover) bool
}

// WithConveyer lets a stopping process hand its jobs over without the key-value service.
func WithConveyer(conveyer Conveyer) Option {
	return func(batcher *Batcher) { batcher.Conveyer = conveyer }
}

// handOverAll hands the jobs of this stopping process over to others, those that are
// due first before the rest. Jobs that no process accepts stay here.
func (batcher *Batcher) handOverAll(ctx context.Context) {
	if batcher.Conveyer == nil {
		return
	}

	batcher.mutex.Lock()
	remaining := slices.Collect(maps.Values(batcher.active))
	batcher.mutex.Unlock()

	slices.SortFunc(remaining, func(a, b *activeJob) int {
		return cmp.Or(a.job.Due.Compare(b.job.Due), cmp.Compare(a.job.ID, b.job.ID))
	})

	ctx, cancel := context.WithTimeout(ctx, totalHandoverTime)
	defer cancel()

	// Processes that declined a job are not asked again.
	declined := map[string]bool{}

	for _, active := range remaining {
		if batcher.handOverJob(ctx, active, declined) {
			batcher.stop(active.job.ID, "The job was handed over.")
		}
	}
}

// handOverJob offers a job to its successors until one accepts it. It adds those that
// do not to declined.
func (batcher *Batcher) handOverJob(ctx context.Context, active *activeJob, declined map[string]bool) bool {
	batcher.mutex.Lock()
	handover := active.handover(batcher.ProcessID)
	batcher.mutex.Unlock()

	for _, process := range batcher.successors(active.job.ID, declined) {
		callCtx, cancel := context.WithTimeout(ctx, handoverTimeout)
		accepted := batcher.Conveyer.HandOver(callCtx, process, handover)

		cancel()

		batcher.Log.WithFields(logrus.Fields{"JobID": active.job.ID, "To": process, "Taken": accepted}).Info("Job was offered to another process.")

		if accepted {
			return true
		}

		declined[process] = true
	}

	return false
}

// successors returns the processes to offer a job to, in the order in which they
// would take it over.
func (batcher *Batcher) successors(id string, declined map[string]bool) []string {
	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()

	liveMembers := batcher.liveMembers()
	maps.DeleteFunc(liveMembers, func(member string, _ bool) bool { return member == batcher.ProcessID || declined[member] })

	candidates := slices.Collect(maps.Keys(liveMembers))
	slices.SortFunc(candidates, func(a, b string) int { return cmp.Compare(rank(id, a, liveMembers), rank(id, b, liveMembers)) })

	return candidates[:min(maxSuccessors, len(candidates))]
}

// handover returns the job with its progress. No attempt may be running any more, and
// the batcher's mutex must be held.
func (active *activeJob) handover(from string) Handover {
	partials, _ := active.partials()
	results := slices.Clone(active.uncommitted)

	if active.proposed != nil {
		results = append(slices.Clone(active.proposed.Results), results...)
	}

	if !active.claimed && active.previousOwner != "" {
		// The head still names the previous owner.
		from = active.previousOwner
	}

	return Handover{Job: active.job, Head: active.record.Head(), From: from, Partials: partials, Finished: results}
}
