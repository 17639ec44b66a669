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
	// handTimeout bounds one handover: a job of some megabytes passes between data
	// centres within it.
	handTimeout = 400 * time.Millisecond
	// handTime is the part of the time at a planned stop for all handovers; the rest is
	// for the service.
	handTime = releaseTimeout / 2
	// mostHands bounds the processes that are asked to take a job. The next one may
	// be about to stop, too.
	mostHands = 3
)

// Handover is a job on its way from an owner that stops to another process.
type Handover struct {
	Job bookkeeper.Job
	// Head is the newest one that the owner knows; its revision is 0 while only
	// custodians have the job.
	Head bookkeeper.Version
	// From is the owner. It works on the job no more.
	From string
	// Partials are what unfinished items have, by ID.
	Partials map[string]bookkeeper.Partial
	// Finished are results that are not certainly listed.
	Finished []bookkeeper.Result
}

// Validate tells what is wrong with a handover that came from outside.
func (handover Handover) Validate() error {
	if err := handover.Job.Validate(); err != nil {
		return err
	}

	known := map[string]bool{}
	for _, item := range handover.Job.Items {
		known[item.ID] = true
	}

	for _, result := range handover.Finished {
		if !known[result.ID] {
			return errors.NotValidf("results: each is of an item of the job, once; item %q", result.ID)
		}

		delete(known, result.ID)
	}

	return nil
}

// Conveyer hands jobs to other processes.
type Conveyer interface {
	// Convey hands a job to a process, and tells whether that one works on it.
	Convey(ctx context.Context, process string, handover Handover) bool
}

// WithConveyer lets a process that stops hand its jobs over without the service.
func WithConveyer(conveyer Conveyer) Option {
	return func(batcher *Batcher) { batcher.Conveyer = conveyer }
}

// handOver gives the jobs of a process that stops to others, the most urgent first.
// Those that nobody takes stay.
func (batcher *Batcher) handOver(ctx context.Context) {
	if batcher.Conveyer == nil {
		return
	}

	batcher.mutex.Lock()
	stopped := slices.Collect(maps.Values(batcher.owned))
	batcher.mutex.Unlock()

	slices.SortFunc(stopped, func(a, b *work) int {
		return cmp.Or(a.job.Due.Compare(b.job.Due), cmp.Compare(a.job.ID, b.job.ID))
	})

	ctx, cancel := context.WithTimeout(ctx, handTime)
	defer cancel()

	// Processes that took no job are not asked again.
	unwilling := map[string]bool{}

	for _, owned := range stopped {
		if batcher.handOne(ctx, owned, unwilling) {
			batcher.disown(owned.job.ID, "It was handed over.")
		}
	}
}

func (batcher *Batcher) handOne(ctx context.Context, owned *work, unwilling map[string]bool) bool {
	batcher.mutex.Lock()
	handover := owned.handover(batcher.Owner)
	batcher.mutex.Unlock()

	for _, process := range batcher.successors(owned.job.ID, unwilling) {
		bounded, cancel := context.WithTimeout(ctx, handTimeout)
		taken := batcher.Conveyer.Convey(bounded, process, handover)

		cancel()

		batcher.Log.WithFields(logrus.Fields{"JobID": owned.job.ID, "To": process, "Taken": taken}).Info("Job is handed over.")

		if taken {
			return true
		}

		unwilling[process] = true
	}

	return false
}

// successors returns the processes that are asked to take a job, in the order in
// which they would take it over.
func (batcher *Batcher) successors(id string, unwilling map[string]bool) []string {
	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()

	live := batcher.live()
	maps.DeleteFunc(live, func(member string, _ bool) bool { return member == batcher.Owner || unwilling[member] })

	found := slices.Collect(maps.Keys(live))
	slices.SortFunc(found, func(a, b string) int { return cmp.Compare(rank(id, a, live), rank(id, b, live)) })

	return found[:min(mostHands, len(found))]
}

// handover is a job as it is. Nothing works on it any more. The batcher's mutex is held.
func (work *work) handover(from string) Handover {
	partials, _ := work.partials()
	finished := slices.Clone(work.finished)

	if work.proposed != nil {
		finished = append(slices.Clone(work.proposed.Results), finished...)
	}

	if !work.claimed && work.from != "" {
		// The head still names the owner before.
		from = work.from
	}

	return Handover{Job: work.job, Head: work.record.Head(), From: from, Partials: partials, Finished: finished}
}
