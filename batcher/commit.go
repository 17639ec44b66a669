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
	// maxCommitBytes bounds the output in one transaction.
	maxCommitBytes = 500 << 10
	// commitRetryPause is the pause after a failed commit.
	commitRetryPause = 100 * time.Millisecond
)

// commit writes finished results to the key-value service in groups until the
// context ends.
func (batcher *Batcher) commit(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-batcher.commitSignal:
		case <-ctx.Done():
			return
		}

		batcher.waitForMoreResults(ctx)

		for batcher.commitOnce(ctx) {
			continue
		}
	}
}

// proposal is the segment of one job in a transaction.
type proposal struct {
	active        *activeJob
	head          bookkeeper.VersionedHead
	segmentNumber int
	segment       bookkeeper.Segment
	value         []byte
	// final tells that this segment completes the job.
	final bool
}

// commitOnce commits one group of results. It returns true if there may be more.
func (batcher *Batcher) commitOnce(ctx context.Context) bool {
	proposals, err := batcher.propose()
	if err != nil {
		batcher.Log.WithError(err).Error("Results could not be encoded as JSON.")

		return false
	}

	if len(proposals) == 0 {
		return false
	}

	transaction, err := newTransaction(proposals)
	if err != nil {
		batcher.Log.WithError(err).Error("Heads of jobs could not be encoded as JSON.")

		return false
	}

	committed, err := batcher.ledger.Client.Transact(ctx, transaction)

	switch {
	case committed.Applied == keeper.WriteApplied:
		batcher.applyCommitted(proposals, committed.Revision)

		return true
	case committed.Applied == keeper.WriteRefused && err == nil:
		batcher.resolveConflicts(ctx, proposals, committed.Present)

		return true
	default:
		batcher.Log.WithField("Jobs", len(proposals)).WithError(err).Info("Results could not be committed to the key-value service; retrying.")
		kernel.Pause(ctx, commitRetryPause)
		signal(batcher.commitSignal)

		return false
	}
}

// propose collects the segments for the next transaction. A segment whose earlier
// commit has an unknown outcome is proposed unchanged, as that commit may still take
// effect.
func (batcher *Batcher) propose() ([]proposal, error) {
	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()

	proposals, size, entries := []proposal{}, 0, 0

	for _, active := range batcher.active {
		if size > maxCommitBytes || entries+maxProposalEntries > keeper.MaxTransactionEntries {
			break
		}

		// The record may already have the head of another owner while the job is
		// not stopped here yet.
		if !active.claimed || !batcher.isHeadOwner(active.record) {
			continue
		}

		active.rebase()
		active.proposeSegment(maxCommitBytes - size)

		if active.proposed == nil {
			continue
		}

		value, err := json.Marshal(active.proposed)
		if err != nil {
			return nil, errors.Trace(err)
		}

		end := active.record.NextSegment()
		next := proposal{
			active: active, head: end.Head, segmentNumber: end.Number, segment: *active.proposed, value: value,
			final: end.Position+len(active.proposed.Results) == end.Head.Total,
		}
		proposals = append(proposals, next)
		size += len(value)
		entries += next.entries()
	}

	return proposals, nil
}

const (
	// proposalEntries counts two conditions and the segment.
	proposalEntries = 3
	// maxProposalEntries also counts the new head and the removed partial output of
	// a job that is done.
	maxProposalEntries = 5
)

// entries is the number of transaction entries that the proposal needs.
func (proposal proposal) entries() int {
	if proposal.final {
		return maxProposalEntries
	}

	return proposalEntries
}

// proposeSegment builds a segment from uncommitted results, unless one is already
// proposed.
func (active *activeJob) proposeSegment(remainingBytes int) {
	if active.proposed != nil || len(active.uncommitted) == 0 {
		return
	}

	segment := &bookkeeper.Segment{First: active.record.NextSegment().Position}

	for len(active.uncommitted) > 0 && (len(segment.Results) == 0 || remainingBytes > 0) {
		remainingBytes -= len(active.uncommitted[0].Output)
		segment.Results = append(segment.Results, active.uncommitted[0])
		active.uncommitted = active.uncommitted[1:]
	}

	active.proposed = segment
}

// newTransaction commits all proposals or none. It requires that each job still has
// the expected head and that no segment exists under the segment's key yet.
func newTransaction(proposals []proposal) (keeper.Transaction, error) {
	transaction := keeper.Transaction{}

	for _, proposal := range proposals {
		id := proposal.active.job.ID
		key := bookkeeper.NumberedKey(bookkeeper.ResultsPrefix(id), proposal.segmentNumber)

		transaction.Conditions = append(transaction.Conditions,
			keeper.Condition{Key: bookkeeper.HeadKey(id), Revision: proposal.head.Revision}, keeper.Condition{Key: key})
		transaction.Puts = append(transaction.Puts, keeper.Put{Key: key, Value: proposal.value})

		if !proposal.final {
			continue
		}

		doneHead := proposal.head.Head
		doneHead.Done = true

		value, err := json.Marshal(doneHead)
		if err != nil {
			return transaction, errors.Trace(err)
		}

		transaction.Puts = append(transaction.Puts, keeper.Put{Key: bookkeeper.HeadKey(id), Value: value})
		transaction.Removes = append(transaction.Removes, bookkeeper.PartialsKey(id))
	}

	return transaction, nil
}

// applyCommitted records that the proposals were committed.
func (batcher *Batcher) applyCommitted(proposals []proposal, revision keeper.Revision) {
	for _, proposal := range proposals {
		batcher.applySegment(proposal, revision)
	}
}

func (batcher *Batcher) applySegment(proposal proposal, revision keeper.Revision) {
	active := proposal.active
	active.record.AddSegments(proposal.segmentNumber, []bookkeeper.Segment{proposal.segment})

	if proposal.final {
		head := proposal.head
		head.Done, head.Revision = true, revision
		active.record.SetHead(head)
	}

	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()

	active.proposed = nil

	batcher.Log.WithFields(logrus.Fields{
		"JobID": active.job.ID, "First": proposal.segment.First, "Results": len(proposal.segment.Results),
		"Done": proposal.final, "Late": proposal.final && time.Now().After(active.job.Due),
	}).Info("Results were committed.")

	if proposal.final {
		batcher.stopLocked(active.job.ID, "All results are committed.")
	}
}

// resolveConflicts finds out for each job why the transaction was refused: either an
// earlier commit of the same segment took effect, or the job has another head.
func (batcher *Batcher) resolveConflicts(ctx context.Context, proposals []proposal, present []keeper.Item) {
	presentItems := map[string]keeper.Item{}
	for _, item := range present {
		presentItems[item.Key] = item
	}

	for _, proposal := range proposals {
		id := proposal.active.job.ID

		committed := presentItems[bookkeeper.NumberedKey(bookkeeper.ResultsPrefix(id), proposal.segmentNumber)]
		if committed.Revision > 0 && bytes.Equal(committed.Value, proposal.value) {
			batcher.applySegment(proposal, committed.Revision)

			continue
		}

		head := presentItems[bookkeeper.HeadKey(id)]
		if head.Revision == proposal.head.Revision && committed.Revision == 0 {
			continue
		}

		batcher.applyConflictingHead(ctx, proposal.active, head)
	}
}

// applyConflictingHead applies a head that changed while this process ran the job.
func (batcher *Batcher) applyConflictingHead(ctx context.Context, active *activeJob, item keeper.Item) {
	id := active.job.ID

	head, err := bookkeeper.DecodeHead(item)
	if err != nil || item.Revision == 0 {
		batcher.stop(id, "Its head is missing or could not be decoded.")

		return
	}

	active.record.SetHead(head)

	if head.Owner != batcher.ProcessID || !head.IsOpen() {
		batcher.stop(id, errNotOwner.Error())

		return
	}

	// A segment that exists under this key already was written by an earlier owner.
	if err := active.record.Refresh(ctx, batcher.ledger, 0); err != nil {
		batcher.Log.WithField("JobID", id).WithError(err).Info("Committed results could not be read.")
	}
}

// rebase withdraws the proposed segment if further results were read from the
// key-value service since: a late commit of that segment itself, or results of an
// earlier owner. Results that are committed by now are dropped. The batcher's mutex
// must be held.
func (active *activeJob) rebase() {
	if active.proposed == nil || active.proposed.First == active.record.NextSegment().Position {
		return
	}

	committed := active.record.CommittedIDs()
	results := append(append([]bookkeeper.Result{}, active.proposed.Results...), active.uncommitted...)
	active.proposed, active.uncommitted = nil, nil

	for _, result := range results {
		if !committed[result.ID] {
			active.uncommitted = append(active.uncommitted, result)
		}
	}
}
