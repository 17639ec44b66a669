package batcher

import (
	"context"
	"sync"
	"time"

	"limpetrail/bookkeeper"
	"limpetrail/keeper"
)

const (
	// cleanUpInterval is how often expired jobs are looked for.
	cleanUpInterval = 20 * time.Second
	// unreadRetention is how long results of another owner's job are cached after the
	// last read.
	unreadRetention = 20 * time.Second
	// shutdownTimeout bounds the handovers and last writes at a planned stop.
	shutdownTimeout = 2 * time.Second
	// maxRemoves is the maximum number of keys in a transaction besides its condition.
	maxRemoves = keeper.MaxTransactionEntries - 1
)

// Run runs jobs until the context ends, and then passes them on to other processes.
func (batcher *Batcher) Run(ctx context.Context) {
	loops := sync.WaitGroup{}
	loops.Go(func() { batcher.dispatch(ctx) })
	loops.Go(func() { batcher.commit(ctx) })
	loops.Go(func() { batcher.monitorOrphans(ctx) })
	loops.Go(func() { batcher.cleanUp(ctx) })
	loops.Go(func() { batcher.savePartials(ctx) })
	loops.Wait()

	batcher.attempts.Wait()

	shutdown, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()

	batcher.stopAccepting()
	batcher.handOverAll(shutdown)

	for batcher.commitOnce(shutdown) {
		continue
	}

	batcher.saveAllPartials(shutdown)
	batcher.releaseAll(shutdown)
}

// cleanUp periodically removes expired jobs and evicts results that nobody reads.
func (batcher *Batcher) cleanUp(ctx context.Context) {
	for {
		select {
		case <-time.After(cleanUpInterval):
		case <-ctx.Done():
			return
		}

		batcher.evictUnread()

		for _, id := range batcher.expiredJobs() {
			if err := batcher.removeJob(ctx, id); err != nil {
				batcher.Log.WithField("JobID", id).WithError(err).Info("Expired job could not be removed; retrying later.")
			}
		}
	}
}

// evictUnread drops cached results of other owners' jobs that were not read lately.
func (batcher *Batcher) evictUnread() {
	batcher.mutex.Lock()

	kept := map[string]bool{}
	for id := range batcher.active {
		kept[id] = true
	}

	for id := range batcher.takingOver {
		kept[id] = true
	}

	batcher.mutex.Unlock()

	batcher.Librarian.DropUnused(unreadRetention, kept)
}

// expiredJobs returns the expired jobs that this process is to remove.
func (batcher *Batcher) expiredJobs() []string {
	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()

	ids := []string{}

	for id, head := range batcher.Librarian.Heads() {
		// Twice the retention tolerates clock skew between processes.
		retentionOver := time.Since(head.Submitted) > 2*batcher.Settings.Retention
		if retentionOver && !head.IsOpen() && rank(id, batcher.ProcessID, batcher.members) == 0 {
			ids = append(ids, id)
		}
	}

	return ids
}

// removeJob deletes a job. It deletes the head last, so that the rest of a job that
// was removed in part is found again.
func (batcher *Batcher) removeJob(ctx context.Context, id string) error {
	head, err := batcher.ledger.Head(ctx, id)
	if err != nil || head.Revision == 0 {
		return err
	}

	condition := []keeper.Condition{{Key: bookkeeper.HeadKey(id), Revision: head.Revision}}
	keys := []string{bookkeeper.PartialsKey(id)}

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
		batch := keys[:min(maxRemoves, len(keys))]
		keys = keys[len(batch):]

		if _, err := batcher.ledger.TransactWithRetry(ctx, keeper.Transaction{Conditions: condition, Removes: batch}); err != nil {
			return err
		}
	}

	_, err = batcher.ledger.TransactWithRetry(ctx, keeper.Transaction{Conditions: condition, Removes: []string{bookkeeper.HeadKey(id)}})

	return err
}
