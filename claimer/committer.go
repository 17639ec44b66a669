package claimer

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"limpetrail/keeper"
)

// committer applies changes of claims to the key-value service. All changes that
// are pending for a shard go into one write, and at most one goroutine writes a
// shard. Committers in other processes may write the same shard, so each write is
// a compare-and-swap.
type committer struct {
	store   keeper.Store
	timeout time.Duration

	mutex sync.Mutex
	// pending maps each shard that has a committing goroutine to the changes for
	// its next write.
	pending map[string][]*change
}

func newCommitter(store keeper.Store, timeout time.Duration) *committer {
	return &committer{store: store, timeout: timeout, pending: map[string][]*change{}}
}

// commit applies the change and returns the claim after it. After an error the
// change may still take effect.
func (committer *committer) commit(ctx context.Context, shard string, requested *change) (Claim, error) {
	if err := committer.enqueue(ctx, shard, requested); err != nil {
		return Claim{}, err
	}

	select {
	case <-requested.done:
		return requested.claim, requested.err
	case <-ctx.Done():
		return Claim{}, errors.Trace(ctx.Err())
	}
}

func (committer *committer) enqueue(ctx context.Context, shard string, requested *change) error {
	committer.mutex.Lock()
	defer committer.mutex.Unlock()

	queued, running := committer.pending[shard]
	if len(queued) >= maxPending {
		return errors.QuotaLimitExceededf("%d changes of %s", maxPending, shard)
	}

	committer.pending[shard] = append(queued, requested)

	if !running {
		go committer.run(context.WithoutCancel(ctx), shard)
	}

	return nil
}

// run commits the shard's pending changes until none are left.
func (committer *committer) run(ctx context.Context, shard string) {
	for {
		group := committer.nextGroup(shard)
		if len(group) == 0 {
			return
		}

		err := committer.write(ctx, shard, group)

		for _, change := range group {
			if change.err == nil {
				change.err = err
			}

			close(change.done)
		}
	}
}

// nextGroup removes and returns the shard's pending changes. If there are none,
// the shard's goroutine must stop.
func (committer *committer) nextGroup(shard string) []*change {
	committer.mutex.Lock()
	defer committer.mutex.Unlock()

	group := committer.pending[shard]
	if len(group) == 0 {
		delete(committer.pending, shard)

		return nil
	}

	committer.pending[shard] = nil

	return group
}

// write applies the group to the latest record, and repeats that if another
// writer changed the record between the read and the write.
func (committer *committer) write(ctx context.Context, shard string, group []*change) error {
	ctx, cancel := context.WithTimeout(keeper.WithPriority(ctx, keeper.PriorityInteractive), committer.timeout)
	defer cancel()

	entry, err := committer.store.Get(ctx, shard)
	if err != nil {
		return errors.Annotatef(err, "reading %s", shard)
	}

	for range maxWriteAttempts {
		value, changed, err := applyGroup(entry.Value, group)
		if err != nil || !changed {
			return err
		}

		var outcome keeper.WriteOutcome

		entry, outcome, err = keeper.WriteWithRetry(ctx, committer.store, keeper.ConditionalWrite{
			Key:      shard,
			Revision: entry.Revision,
			Value:    value,
			// After a lost answer the changes are applied again, which skips those
			// that took effect.
			IsOwnWrite: func([]byte) bool { return false },
		})
		if err != nil {
			return errors.Annotatef(err, "writing %s", shard)
		}

		if outcome == keeper.WriteApplied {
			return nil
		}
	}

	return errors.Timeoutf("writing %s among other writers", shard)
}

// applyGroup returns the record after the group's changes, and whether it changed.
// A change that a full record refuses gets an error in its err field.
func applyGroup(value []byte, group []*change) ([]byte, bool, error) {
	record, err := decodeRecord(value)
	if err != nil {
		return nil, false, err
	}

	record.dropExpired(time.Now())

	full := len(value) > MaxRecordBytes
	changed := false

	for _, change := range group {
		change.err = nil

		if full && change.refusedWhenFull {
			change.err = errors.QuotaLimitExceededf("record of %d bytes", len(value))

			continue
		}

		claim, modified := change.apply(record)
		change.claim = claim
		changed = changed || modified
	}

	if !changed {
		return nil, false, nil
	}

	value, err = record.encode()

	return value, true, err
}
