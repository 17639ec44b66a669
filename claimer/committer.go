package claimer

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"limpetrail/keeper"
)

// committer writes the changes of all shards. The changes that wait for one
// shard go into one write; at most one goroutine a shard writes. Committers in
// other processes may write the same shard: the compare-and-swap decides.
type committer struct {
	store   keeper.Store
	timeout time.Duration

	mutex sync.Mutex
	// pending holds the shards that have a committing goroutine now, and what
	// waits for its next write.
	pending map[string][]*change
}

func newCommitter(store keeper.Store, timeout time.Duration) *committer {
	return &committer{store: store, timeout: timeout, pending: map[string][]*change{}}
}

// commit returns the claim after the change. An error means that the change
// may or may not take effect.
func (committer *committer) commit(ctx context.Context, shard string, wanted *change) (Claim, error) {
	if err := committer.enqueue(ctx, shard, wanted); err != nil {
		return Claim{}, err
	}

	select {
	case <-wanted.done:
		return wanted.claim, wanted.err
	case <-ctx.Done():
		return Claim{}, errors.Trace(ctx.Err())
	}
}

func (committer *committer) enqueue(ctx context.Context, shard string, wanted *change) error {
	committer.mutex.Lock()
	defer committer.mutex.Unlock()

	waiting, running := committer.pending[shard]
	if len(waiting) >= maxPending {
		return errors.QuotaLimitExceededf("%d changes of %s", maxPending, shard)
	}

	committer.pending[shard] = append(waiting, wanted)

	if !running {
		go committer.run(context.WithoutCancel(ctx), shard)
	}

	return nil
}

// run commits what waits for the shard until nothing does.
func (committer *committer) run(ctx context.Context, shard string) {
	for {
		group := committer.take(shard)
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

func (committer *committer) take(shard string) []*change {
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

// write applies the group to the newest record until no other writer comes
// between the read and the write.
func (committer *committer) write(ctx context.Context, shard string, group []*change) error {
	ctx, cancel := context.WithTimeout(keeper.WithPriority(ctx, keeper.PriorityClaim), committer.timeout)
	defer cancel()

	entry, err := committer.store.Get(ctx, shard)
	if err != nil {
		return errors.Annotatef(err, "reading %s", shard)
	}

	for range commitAttempts {
		value, changed, err := apply(entry.Value, group)
		if err != nil || !changed {
			return err
		}

		var applied keeper.Applied

		entry, applied, err = keeper.Write(ctx, committer.store, keeper.Proposal{
			Key:      shard,
			Revision: entry.Revision,
			Value:    value,
			// Applying the changes again recognises those that took effect.
			Mine: func([]byte) bool { return false },
		})
		if err != nil {
			return errors.Annotatef(err, "writing %s", shard)
		}

		if applied == keeper.WriteApplied {
			return nil
		}
	}

	return errors.Timeoutf("writing %s among other writers", shard)
}

// apply returns the record with the group's changes, and whether it differs.
// Changes that no longer fit get an error of their own.
func apply(value []byte, group []*change) ([]byte, bool, error) {
	record, err := decodeRecord(value)
	if err != nil {
		return nil, false, err
	}

	record.expire(time.Now())

	full := len(value) > MaxRecordBytes
	changed := false

	for _, change := range group {
		change.err = nil

		if full && change.grows {
			change.err = errors.QuotaLimitExceededf("record of %d bytes", len(value))

			continue
		}

		claim, changes := change.apply(record)
		change.claim = claim
		changed = changed || changes
	}

	if !changed {
		return nil, false, nil
	}

	value, err = record.encode()

	return value, true, err
}
