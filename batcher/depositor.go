package batcher

import (
	"context"
	"time"

	"limpetrail/bookkeeper"
)

const (
	// serviceShare of the time for accepting a job is the service's; the rest is
	// left for custodians.
	serviceShare = 0.4
	// longestService is many times the service's usual answer of 4 ms, also when
	// it is sixty times as slow.
	longestService = 300 * time.Millisecond
	// doubtTime after a failed call of the service a job that is not found may
	// still be on its way from a custodian.
	doubtTime = 15 * time.Second
)

// Depositor keeps jobs elsewhere while the service is away.
type Depositor interface {
	// Deposit makes a job last. It will be brought into the service later.
	Deposit(ctx context.Context, job bookkeeper.Job) bookkeeper.Outcome
	// Holds tells whether a job waits to be brought into the service, and
	// whether the answer is complete.
	Holds(ctx context.Context, id string) (held, sure bool)
}

// accept makes a job last in the service, or else at custodians.
func (batcher *Batcher) accept(ctx context.Context, job bookkeeper.Job, head bookkeeper.Head) (bookkeeper.Version, bookkeeper.Outcome, error) {
	if batcher.Depositor == nil {
		return batcher.ledger.Create(ctx, job, head)
	}

	bounded, cancel := context.WithTimeout(ctx, serviceTime(ctx))
	defer cancel()

	created, outcome, err := batcher.ledger.Create(bounded, job, head)
	if outcome == bookkeeper.OK {
		return created, bookkeeper.OK, nil
	}

	deposited := batcher.Depositor.Deposit(ctx, job)
	if deposited == bookkeeper.NotDone {
		// What the service may do late decides.
		return bookkeeper.Version{}, outcome, err
	}

	return bookkeeper.Version{}, deposited, err
}

func serviceTime(ctx context.Context) time.Duration {
	deadline, bounded := ctx.Deadline()
	if !bounded {
		return longestService
	}

	return min(longestService, time.Duration(serviceShare*float64(time.Until(deadline))))
}

// absent tells whether a job that the service does not have exists nowhere.
func (batcher *Batcher) absent(ctx context.Context, id string) bool {
	if batcher.Depositor == nil {
		return true
	}

	held, sure := batcher.Depositor.Holds(ctx, id)

	return !held && (sure || !batcher.ledger.Client.FailedWithin(doubtTime))
}
