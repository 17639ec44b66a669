package batcher

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"limpetrail/bookkeeper"
	"limpetrail/keeper"
	"limpetrail/kernel"
)

const (
	// maxCommitBytes bounds each value and, but for the last one, all values in one
	// transaction.
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
	// alone tells that the segment gets a transaction of its own.
	alone bool
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
	case errors.Is(err, keeper.ErrRejected):
		batcher.applyRejection(ctx, proposals, err)

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
		if !active.claimed || !batcher.isHeadOwner(active.record) || time.Now().Before(active.rejections.pausedUntil) {
			continue
		}

		if active.rejections.alone && len(proposals) > 0 {
			continue
		}

		active.rebase()

		if err := active.proposeSegment(active.rejections.limit(min(maxCommitBytes, batcher.ledger.ChunkBytes()))); err != nil {
			return nil, err
		}

		if active.proposed == nil {
			continue
		}

		next := active.proposal()
		proposals = append(proposals, next)
		size += len(next.value)
		entries += next.entries()

		if next.alone {
			break
		}
	}

	return proposals, nil
}

// proposal returns the proposed segment of the job.
func (active *activeJob) proposal() proposal {
	end, proposed := active.record.NextSegment(), active.proposed
	finished := len(proposed.Results)

	if proposed.Fragment != nil && proposed.Fragment.Ends {
		finished = 1
	}

	return proposal{
		active: active, head: end.Head, segmentNumber: end.Number, segment: proposed.Segment, value: proposed.Value,
		alone: active.rejections.alone, final: finished > 0 && end.Position+finished == end.Head.Total,
	}
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

// proposeSegment proposes the next fragment or a segment of uncommitted results whose value is
// not longer than the limit, unless one is already proposed.
func (active *activeJob) proposeSegment(limit int) error {
	if active.proposed != nil || len(active.uncommitted) == 0 {
		return nil
	}

	end := active.record.NextSegment()

	if len(active.fragments) == 0 {
		segments, err := bookkeeper.EncodeSegments(end.Position, active.uncommitted, limit)
		if err != nil {
			return errors.Trace(err)
		}

		active.fragments = segments
		active.uncommitted = active.uncommitted[len(segments[0].Results):]
	}

	active.proposed, active.proposedNumber = &active.fragments[0], end.Number
	active.fragments = active.fragments[1:]

	return nil
}

// withdraw returns the results of the proposed segment to the uncommitted ones, so that they are
// proposed in another way.
func (active *activeJob) withdraw() {
	if active.proposed == nil {
		return
	}

	active.uncommitted = append(slices.Clone(active.proposed.Results), active.uncommitted...)
	active.proposed, active.fragments = nil, nil
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

	if err := active.record.AddSegments(proposal.segmentNumber, []bookkeeper.Segment{proposal.segment}); err != nil {
		batcher.Log.WithField("JobID", active.job.ID).WithError(err).Error("Committed results cannot be read.")
	}

	if proposal.final {
		head := proposal.head
		head.Done, head.Revision = true, revision
		active.record.SetHead(head)
	}

	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()

	active.proposed, active.rejections.alone = nil, false
	if proposal.segment.Fragment != nil {
		active.uncommitted = withoutCommitted(active.uncommitted, active.record.CommittedIDs())
	}

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
	if active.proposed == nil && len(active.fragments) == 0 {
		// An earlier commit of a rejected segment, whose outcome was unknown, may have taken effect.
		active.uncommitted = withoutCommitted(active.uncommitted, active.record.CommittedIDs())

		return
	}

	expected := active.proposedNumber
	if active.proposed == nil {
		// The fragment before was committed.
		expected++
	}

	if active.record.NextSegment().Number == expected {
		return
	}

	active.withdraw()

	active.fragments = nil
	active.uncommitted = withoutCommitted(active.uncommitted, active.record.CommittedIDs())
}
