package batcher

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"limpetrail/bookkeeper"
	"limpetrail/keeper"
	"limpetrail/kernel"
)

const (
	// maxCommit bounds the output in one transaction.
	maxCommit = 500 << 10
	// listPause comes after a call that failed.
	listPause = 100 * time.Millisecond
)

// commit lists finished items in groups until the context ends.
func (batcher *Batcher) commit(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-batcher.listing:
		case <-ctx.Done():
			return
		}

		batcher.gather(ctx)

		for batcher.list(ctx) {
			continue
		}
	}
}

// proposal is the results of one job in a transaction.
type proposal struct {
	owned   *work
	head    bookkeeper.Version
	number  int
	segment bookkeeper.Segment
	value   []byte
	// last tells that the job is done with this segment.
	last bool
}

// list writes one group of results. It returns true if there may be more.
func (batcher *Batcher) list(ctx context.Context) bool {
	proposals, err := batcher.propose()
	if err != nil {
		batcher.Log.WithError(err).Error("Results cannot be written as text.")

		return false
	}

	if len(proposals) == 0 {
		return false
	}

	transaction, err := transactionOf(proposals)
	if err != nil {
		batcher.Log.WithError(err).Error("Heads cannot be written as text.")

		return false
	}

	committed, err := batcher.ledger.Client.Transact(ctx, transaction)

	switch {
	case committed.Applied == keeper.WriteApplied:
		batcher.listed(proposals, committed.Revision)

		return true
	case committed.Applied == keeper.WriteRefused && err == nil:
		batcher.contested(ctx, proposals, committed.Present)

		return true
	default:
		batcher.Log.WithField("Jobs", len(proposals)).WithError(err).Info("Results wait for the key-value service.")
		kernel.Pause(ctx, listPause)
		poke(batcher.listing)

		return false
	}
}

// propose gathers finished results. A segment that was proposed before is
// proposed unchanged: its first copy may still take effect.
func (batcher *Batcher) propose() ([]proposal, error) {
	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()

	proposals, size, entries := []proposal{}, 0, 0

	for _, owned := range batcher.owned {
		if size > maxCommit || entries+mostEntries > keeper.MaxEntries {
			break
		}

		// The head is known before the work on the job is dropped for it.
		if !owned.claimed || !batcher.named(owned.record) {
			continue
		}

		owned.rebase()
		owned.gather(maxCommit - size)

		if owned.proposed == nil {
			continue
		}

		value, err := json.Marshal(owned.proposed)
		if err != nil {
			return nil, errors.Trace(err)
		}

		end := owned.record.End()
		made := proposal{
			owned: owned, head: end.Head, number: end.Segment, segment: *owned.proposed, value: value,
			last: end.Position+len(owned.proposed.Results) == end.Head.Total,
		}
		proposals = append(proposals, made)
		size += len(value)
		entries += made.entries()
	}

	return proposals, nil
}

const (
	// entriesOfResults are two conditions and the segment.
	entriesOfResults = 3
	// mostEntries has the new head and the removed partial output besides, for a
	// job that is done.
	mostEntries = 5
)

// entries is how many of a transaction's entries the proposal takes.
func (proposal proposal) entries() int {
	if proposal.last {
		return mostEntries
	}

	return entriesOfResults
}

// gather makes a segment of finished results, unless one is proposed already.
func (work *work) gather(room int) {
	if work.proposed != nil || len(work.finished) == 0 {
		return
	}

	proposed := &bookkeeper.Segment{First: work.record.End().Position}

	for len(work.finished) > 0 && (len(proposed.Results) == 0 || room > 0) {
		room -= len(work.finished[0].Output)
		proposed.Results = append(proposed.Results, work.finished[0])
		work.finished = work.finished[1:]
	}

	work.proposed = proposed
}

// transactionOf lists all proposals or none: each under the head of its job,
// at a position that is still free.
func transactionOf(proposals []proposal) (keeper.Transaction, error) {
	transaction := keeper.Transaction{}

	for _, proposal := range proposals {
		id := proposal.owned.job.ID
		key := bookkeeper.Numbered(bookkeeper.ResultsPrefix(id), proposal.number)

		transaction.Conditions = append(transaction.Conditions,
			keeper.Condition{Key: bookkeeper.HeadKey(id), Revision: proposal.head.Revision}, keeper.Condition{Key: key})
		transaction.Puts = append(transaction.Puts, keeper.Put{Key: key, Value: proposal.value})

		if !proposal.last {
			continue
		}

		done := proposal.head.Head
		done.Done = true

		value, err := json.Marshal(done)
		if err != nil {
			return transaction, errors.Trace(err)
		}

		transaction.Puts = append(transaction.Puts, keeper.Put{Key: bookkeeper.HeadKey(id), Value: value})
		transaction.Removes = append(transaction.Removes, bookkeeper.PartialKey(id))
	}

	return transaction, nil
}

// listed takes in that the proposals are listed.
func (batcher *Batcher) listed(proposals []proposal, revision keeper.Revision) {
	for _, proposal := range proposals {
		batcher.acceptListed(proposal, revision)
	}
}

func (batcher *Batcher) acceptListed(proposal proposal, revision keeper.Revision) {
	owned := proposal.owned
	owned.record.Add(proposal.number, []bookkeeper.Segment{proposal.segment})

	if proposal.last {
		head := proposal.head
		head.Done, head.Revision = true, revision
		owned.record.SetHead(head)
	}

	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()

	owned.proposed = nil

	batcher.Log.WithFields(logrus.Fields{
		"JobID": owned.job.ID, "First": proposal.segment.First, "Results": len(proposal.segment.Results),
		"Done": proposal.last, "Late": proposal.last && time.Now().After(owned.job.Due),
	}).Info("Results are listed.")

	if proposal.last {
		batcher.drop(owned.job.ID, "All results are listed.")
	}
}

// contested decides after a refusal, job by job: an earlier copy of the
// proposal took effect, or the job has another head.
func (batcher *Batcher) contested(ctx context.Context, proposals []proposal, present []keeper.Item) {
	items := map[string]keeper.Item{}
	for _, item := range present {
		items[item.Key] = item
	}

	for _, proposal := range proposals {
		id := proposal.owned.job.ID

		listed := items[bookkeeper.Numbered(bookkeeper.ResultsPrefix(id), proposal.number)]
		if listed.Revision > 0 && bytes.Equal(listed.Value, proposal.value) {
			batcher.acceptListed(proposal, listed.Revision)

			continue
		}

		head := items[bookkeeper.HeadKey(id)]
		if head.Revision == proposal.head.Revision && listed.Revision == 0 {
			continue
		}

		batcher.reconsider(ctx, proposal.owned, head)
	}
}

// reconsider takes in a head that changed under the owner's work.
func (batcher *Batcher) reconsider(ctx context.Context, owned *work, item keeper.Item) {
	id := owned.job.ID

	head, err := bookkeeper.DecodeHead(item)
	if err != nil || item.Revision == 0 {
		batcher.disown(id, "Its head is gone or cannot be read.")

		return
	}

	owned.record.SetHead(head)

	if head.Owner != batcher.Owner || !head.Open() {
		batcher.disown(id, errNotOwner.Error())

		return
	}

	// Results that are listed here already were written by a former owner.
	if err := owned.record.Refresh(ctx, batcher.ledger, 0); err != nil {
		batcher.Log.WithField("JobID", id).WithError(err).Info("Results cannot be read.")
	}
}

// rebase takes a proposal back if the record has grown since: the proposal's
// own copy that took effect late, or a former owner's results, were read from
// the service. What is listed by now is dropped. The batcher's mutex is held.
func (work *work) rebase() {
	if work.proposed == nil || work.proposed.First == work.record.End().Position {
		return
	}

	listed := work.record.Listed()
	finished := append(append([]bookkeeper.Result{}, work.proposed.Results...), work.finished...)
	work.proposed, work.finished = nil, nil

	for _, result := range finished {
		if !listed[result.ID] {
			work.finished = append(work.finished, result)
		}
	}
}
