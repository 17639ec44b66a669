package batcher

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"limpetrail/bookkeeper"
	"limpetrail/librarian"
)

// The load that this file answers: jobs are accepted, or their owner stops, while the
// key-value service is away for seconds and backend servers have free places. Items
// run at once; their results wait here until the head names this process. Two
// processes may run the same items meanwhile, but only the one that the head names
// lists results.

// hold begins the work on a job that custodians have accepted.
func (batcher *Batcher) hold(job bookkeeper.Job) {
	record := batcher.Librarian.Record(job.ID)
	record.Offer(job.Items)

	if batcher.begin(record, job, nil, false) {
		batcher.Log.WithFields(logrus.Fields{"JobID": job.ID, "Items": len(job.Items)}).Info("Work begins before the job is in the service.")
	}
}

// holds tells whether this process works on a job that custodians have accepted.
func (batcher *Batcher) holds(id string) bool {
	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()

	owned := batcher.owned[id]

	return owned != nil && owned.from == ""
}

// Adopt begins the work on a job that its owner hands over. It returns false if this
// process does not take it.
func (batcher *Batcher) Adopt(handover Handover) bool {
	job := handover.Job
	record := batcher.Librarian.Record(job.ID)
	record.SetHead(handover.Head)
	record.Offer(job.Items)

	if handover.Head.Revision > 0 && !record.Head().Open() {
		return false
	}

	begun := batcher.begin(record, job, &handover, false)
	batcher.Log.WithFields(logrus.Fields{
		"JobID": job.ID, "From": handover.From, "Head": handover.Head.Revision, "Begun": len(handover.Partials),
		"Finished": len(handover.Finished), "Adopted": begun,
	}).Info("Job was handed over to this process.")

	if begun {
		batcher.claimAll(context.Background())
	}

	return begun
}

// unclaimed returns the jobs whose head does not name this process yet though it
// works on them, and that no claim is under way for. Those that no custodian brings
// into the service any more are dropped.
func (batcher *Batcher) unclaimed() []*work {
	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()

	found := []*work{}

	for id, owned := range batcher.owned {
		switch {
		case owned.claimed || owned.claiming:
		case owned.record.Head().Revision > 0:
			owned.claiming = true
			found = append(found, owned)
		case time.Since(owned.job.Submitted) > batcher.Settings.Retention:
			batcher.drop(id, "The service never got it.")
		}
	}

	return found
}

// claimAll claims the jobs whose heads are known.
func (batcher *Batcher) claimAll(ctx context.Context) {
	for _, owned := range batcher.unclaimed() {
		go batcher.claim(ctx, owned)
	}
}

// claim makes this process the owner of a job that it works on already.
func (batcher *Batcher) claim(ctx context.Context, owned *work) {
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()

	err := batcher.tryClaim(ctx, owned)

	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()

	owned.claiming = false

	if err != nil {
		batcher.Log.WithField("JobID", owned.job.ID).WithError(err).Info("Job is not claimed yet.")
	}
}

// tryClaim returns an error if it has to be tried again.
func (batcher *Batcher) tryClaim(ctx context.Context, owned *work) error {
	id, before := owned.job.ID, owned.record.Head()

	if before.Owner != batcher.Owner {
		if !before.Open() || !owned.mayClaim(before.Owner) {
			batcher.disown(id, errNotOwner.Error())

			return nil
		}

		head := before.Head
		head.Owner = batcher.Owner

		taken, applied, err := batcher.ledger.Replace(ctx, id, before, head)
		owned.record.SetHead(taken)

		if err != nil {
			return err
		}

		if !applied {
			// The head that was found there decides at the next try.
			return nil
		}
	}

	// Whatever an earlier owner listed came before this process was named.
	if err := owned.record.Refresh(ctx, batcher.ledger, 0); err != nil {
		return err
	}

	batcher.claimed(owned)

	return nil
}

// mayClaim tells whether a job may be claimed from its owner: nobody, or the one that
// handed it over.
func (work *work) mayClaim(owner string) bool {
	return owner == "" || owner == work.from
}

// claimed lets the results of a job be listed. What an earlier owner has listed is
// dropped here.
func (batcher *Batcher) claimed(owned *work) {
	listed := owned.record.Listed()

	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()

	if owned.context.Err() != nil || !batcher.named(owned.record) {
		return
	}

	for id := range listed {
		if task := owned.unfinished[id]; task != nil {
			owned.forget(task)
		}
	}

	owned.finished = unlisted(owned.finished, listed)
	owned.listed, owned.claimed = listed, true

	batcher.Log.WithFields(logrus.Fields{
		"JobID": owned.job.ID, "Revision": owned.record.Head().Revision, "Finished": len(owned.finished), "ListedBefore": len(listed),
	}).Info("Job was claimed.")

	poke(batcher.listing)
	poke(batcher.wake)
}

// named tells whether the newest head that is known gives a job to this process.
func (batcher *Batcher) named(record *librarian.Record) bool {
	head := record.Head()

	return head.Owner == batcher.Owner && head.Open()
}

// unlisted returns the results that are not listed.
func unlisted(results []bookkeeper.Result, listed map[string]bool) []bookkeeper.Result {
	found := []bookkeeper.Result{}

	for _, result := range results {
		if !listed[result.ID] {
			found = append(found, result)
		}
	}

	return found
}

// contradicts tells whether a head that was read ends the work on a job here. The
// batcher's mutex is held.
func (batcher *Batcher) contradicts(owned *work, head bookkeeper.Version) bool {
	if head.Revision < owned.record.Head().Revision {
		return false
	}

	if !head.Open() {
		return true
	}

	return head.Owner != batcher.Owner && (owned.claimed || !owned.mayClaim(head.Owner))
}

// begin starts the work on a job, unless there is work on it here. Claimed work lists
// its results. It goes on where a handover, if there is one, ends.
func (batcher *Batcher) begin(record *librarian.Record, job bookkeeper.Job, handover *Handover, claimed bool) bool {
	owned := newWork(record, job, handover)
	owned.claimed = claimed

	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()

	if batcher.owned[job.ID] != nil || batcher.leaving || claimed && !batcher.named(record) {
		owned.cancel()

		return false
	}

	batcher.owned[job.ID] = owned

	poke(batcher.wake)
	poke(batcher.listing)

	return true
}
