package batcher

import (
	"context"
	"sync"
	"time"

	"limpetrail/bookkeeper"
	"limpetrail/keeper"
)

const (
	// janitorInterval is how often old jobs are looked for.
	janitorInterval = 20 * time.Second
	// unusedTime is how long the results of another owner's job stay here.
	unusedTime = 20 * time.Second
	// releaseTimeout bounds the last writes at a planned stop.
	releaseTimeout = 2 * time.Second
	// maxRemoves is the most keys of a transaction besides its condition.
	maxRemoves = keeper.MaxEntries - 1
)

// Run works on jobs until the context ends, and then gives them to others.
func (batcher *Batcher) Run(ctx context.Context) {
	duties := sync.WaitGroup{}
	duties.Go(func() { batcher.dispatch(ctx) })
	duties.Go(func() { batcher.commit(ctx) })
	duties.Go(func() { batcher.oversee(ctx) })
	duties.Go(func() { batcher.tidy(ctx) })
	duties.Go(func() { batcher.save(ctx) })
	duties.Wait()

	batcher.running.Wait()

	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()

	batcher.leave()
	batcher.handOver(last)

	for batcher.list(last) {
		continue
	}

	batcher.saveAll(last)
	batcher.release(last)
}

// tidy removes what is past its retention, and forgets what nobody reads.
func (batcher *Batcher) tidy(ctx context.Context) {
	for {
		select {
		case <-time.After(janitorInterval):
		case <-ctx.Done():
			return
		}

		batcher.forget()

		for _, id := range batcher.expired() {
			if err := batcher.remove(ctx, id); err != nil {
				batcher.Log.WithField("JobID", id).WithError(err).Info("Old job cannot be removed yet.")
			}
		}
	}
}

// forget drops the results of other owners' jobs that nobody has read lately.
func (batcher *Batcher) forget() {
	batcher.mutex.Lock()

	kept := map[string]bool{}
	for id := range batcher.owned {
		kept[id] = true
	}

	for id := range batcher.taking {
		kept[id] = true
	}

	batcher.mutex.Unlock()

	batcher.Librarian.Forget(unusedTime, kept)
}

// expired returns the jobs that this member removes.
func (batcher *Batcher) expired() []string {
	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()

	found := []string{}

	for id, head := range batcher.Librarian.Heads() {
		// Twice the retention allows for clocks that differ.
		old := time.Since(head.Submitted) > 2*batcher.Settings.Retention
		if old && !head.Open() && rank(id, batcher.Owner, batcher.members) == 0 {
			found = append(found, id)
		}
	}

	return found
}

// remove deletes a job, its head last, so that what is left is found again.
func (batcher *Batcher) remove(ctx context.Context, id string) error {
	head, err := batcher.ledger.Head(ctx, id)
	if err != nil || head.Revision == 0 {
		return err
	}

	condition := []keeper.Condition{{Key: bookkeeper.HeadKey(id), Revision: head.Revision}}
	keys := []string{bookkeeper.PartialKey(id)}

	for _, prefix := range []string{bookkeeper.ItemsPrefix(id), bookkeeper.ResultsPrefix(id)} {
		items, _, err := batcher.ledger.Client.RangeAll(ctx, prefix)
		if err != nil {
			return err
		}

		for _, item := range items {
			keys = append(keys, item.Key)
		}
	}

	for len(keys) > 0 {
		part := keys[:min(maxRemoves, len(keys))]
		keys = keys[len(part):]

		if _, err := batcher.ledger.Settle(ctx, keeper.Transaction{Conditions: condition, Removes: part}); err != nil {
			return err
		}
	}

	_, err = batcher.ledger.Settle(ctx, keeper.Transaction{Conditions: condition, Removes: []string{bookkeeper.HeadKey(id)}})

	return err
}
