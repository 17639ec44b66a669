package batcher

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"limpetrail/bookkeeper"
	"limpetrail/librarian"
)

// This file runs jobs before their head names this process. Jobs may be accepted, or
// their owner may stop, while the key-value service is unavailable for seconds and
// backend servers have free places. Their items run at once; the results wait here until
// the head names this process. Two processes may run the same items meanwhile, but only
// the owner that the head names commits results.

// startDeposited starts a job that is stored at custodians only.
func (batcher *Batcher) startDeposited(job bookkeeper.Job) {
	record := batcher.Librarian.Record(job.ID)
	record.SetItems(job.Items)

	if batcher.startJob(record, job, nil, false) {
		batcher.Log.WithFields(logrus.Fields{"JobID": job.ID, "Items": len(job.Items)}).Info("Started a job that is not in the key-value service yet.")
	}
}

// AcceptHandover starts a job that its owner hands over. It returns false if the job is not
// open or already runs here, or if this process is stopping.
func (batcher *Batcher) AcceptHandover(handover Handover) bool {
	job := handover.Job
	record := batcher.Librarian.Record(job.ID)
	record.SetHead(handover.Head)
	record.SetItems(job.Items)

	if handover.Head.Revision > 0 && !record.Head().IsOpen() {
		return false
	}

	started := batcher.startJob(record, job, &handover, false)
	batcher.Log.WithFields(logrus.Fields{
		"JobID": job.ID, "From": handover.From, "Head": handover.Head.Revision, "Begun": len(handover.Partials),
		"Finished": len(handover.Finished), "Adopted": started,
	}).Info("Another process handed a job over to this one.")

	if started {
		batcher.claimAll(context.Background())
	}

	return started
}

// unclaimed returns the jobs that run here unclaimed, have a head, and for which no
// claim is in progress. It marks them as being claimed. It stops jobs without a head
// whose retention is over, as no custodian will deliver them any more.
func (batcher *Batcher) unclaimed() []*activeJob {
	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()

	jobs := []*activeJob{}

	for id, active := range batcher.active {
		switch {
		case active.claimed || active.claiming:
		case active.record.Head().Revision > 0:
			active.claiming = true
			jobs = append(jobs, active)
		case time.Since(active.job.Submitted) > batcher.Settings.Retention:
			batcher.stopLocked(id, "The job was not delivered to the key-value service within its retention.")
		}
	}

	return jobs
}

// claimAll starts claiming all unclaimed jobs whose heads are known.
func (batcher *Batcher) claimAll(ctx context.Context) {
	for _, active := range batcher.unclaimed() {
		go batcher.claim(ctx, active)
	}
}

// claim makes this process the owner of a job that it already runs.
func (batcher *Batcher) claim(ctx context.Context, active *activeJob) {
	ctx, cancel := context.WithTimeout(ctx, takeoverTimeout)
	defer cancel()

	err := batcher.tryClaim(ctx, active)

	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()

	active.claiming = false

	if err != nil {
		batcher.Log.WithField("JobID", active.job.ID).WithError(err).Info("Job could not be claimed; retrying.")
	}
}

// tryClaim makes one attempt to claim a job. It returns an error if a call of the
// key-value service failed.
func (batcher *Batcher) tryClaim(ctx context.Context, active *activeJob) error {
	id, current := active.job.ID, active.record.Head()

	if current.Owner != batcher.ProcessID {
		if !current.IsOpen() || !active.mayClaim(current.Owner) {
			batcher.stop(id, errNotOwner.Error())

			return nil
		}

		head := current.Head
		head.Owner = batcher.ProcessID

		updated, applied, err := batcher.ledger.Replace(ctx, id, current, head)
		active.record.SetHead(updated)

		if err != nil {
			return err
		}

		if !applied {
			// The next attempt checks the head that is there instead.
			return nil
		}
	}

	// Earlier owners committed all their results before the head named this process, so
	// this reads all of them.
	if err := active.record.Refresh(ctx, batcher.ledger, 0); err != nil {
		return err
	}

	batcher.markClaimed(active)

	return nil
}

// mayClaim tells whether the job may be claimed from the owner in its head: if there is
// none, or if that owner handed the job over.
func (active *activeJob) mayClaim(owner string) bool {
	return owner == "" || owner == active.previousOwner
}

// markClaimed allows results of the job to be committed. It drops the items and results
// that an earlier owner has already committed.
func (batcher *Batcher) markClaimed(active *activeJob) {
	committed := active.record.CommittedIDs()

	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()

	if active.context.Err() != nil || !batcher.isHeadOwner(active.record) {
		return
	}

	for id := range committed {
		if task := active.unfinished[id]; task != nil {
			active.removeTask(task)
		}
	}

	active.uncommitted = withoutCommitted(active.uncommitted, committed)
	active.committedBefore, active.claimed = committed, true

	batcher.Log.WithFields(logrus.Fields{
		"JobID": active.job.ID, "Revision": active.record.Head().Revision, "Finished": len(active.uncommitted), "ListedBefore": len(committed),
	}).Info("Job was claimed.")

	signal(batcher.commitSignal)
	signal(batcher.dispatchSignal)
}

// isHeadOwner tells whether the newest known head names this process as the owner of an
// open job.
func (batcher *Batcher) isHeadOwner(record *librarian.Record) bool {
	head := record.Head()

	return head.Owner == batcher.ProcessID && head.IsOpen()
}

// withoutCommitted returns the results of items that are not among the committed ones.
func withoutCommitted(results []bookkeeper.Result, committed map[string]bool) []bookkeeper.Result {
	remaining := []bookkeeper.Result{}

	for _, result := range results {
		if !committed[result.ID] {
			remaining = append(remaining, result)
		}
	}

	return remaining
}

// headEndsWork tells whether a head that was read requires stopping the job here. The
// batcher's mutex must be held.
func (batcher *Batcher) headEndsWork(active *activeJob, head bookkeeper.VersionedHead) bool {
	if head.Revision < active.record.Head().Revision {
		return false
	}

	if !head.IsOpen() {
		return true
	}

	return head.Owner != batcher.ProcessID && (active.claimed || !active.mayClaim(head.Owner))
}

// startJob starts a job, from the progress in its handover if there is one. Results of a
// claimed job may be committed at once. It returns false if the job already runs here,
// the process is stopping, or the job is claimed but has another owner by now.
func (batcher *Batcher) startJob(record *librarian.Record, job bookkeeper.Job, handover *Handover, claimed bool) bool {
	active := newActiveJob(record, job, handover)
	active.claimed = claimed

	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()

	if batcher.active[job.ID] != nil || batcher.leaving || claimed && !batcher.isHeadOwner(record) {
		active.cancel()

		return false
	}

	batcher.active[job.ID] = active

	signal(batcher.dispatchSignal)
	signal(batcher.commitSignal)

	return true
}
