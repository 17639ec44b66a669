package batcher

import (
	"context"
	"time"

	"limpetrail/bookkeeper"
)

const (
	// keyValueShare is the share of the time for accepting a job that the key-value
	// service gets; the rest is left for custodians.
	keyValueShare = 0.4
	// maxKeyValueTime is many times the usual latency of 4 ms, and also enough when
	// the key-value service is 60 times slower.
	maxKeyValueTime = 300 * time.Millisecond
	// deliveryGrace is how long after a failed call of the key-value service a job
	// that is not found may still be delivered by a custodian.
	deliveryGrace = 15 * time.Second
)

// Depositor stores jobs at custodians while the key-value service is unavailable.
type Depositor interface {
	// Deposit stores a job durably. It is delivered to the key-value service later.
	Deposit(ctx context.Context, job bookkeeper.Job) bookkeeper.Outcome
	// HasJob tells whether a job that the reader may read awaits delivery to the key-value
	// service, and whether all custodians answered.
	HasJob(ctx context.Context, id string, reader bookkeeper.Reader) (found, complete bool)
}

// persist stores a job in the key-value service or, if that fails, at custodians.
func (batcher *Batcher) persist(ctx context.Context, job bookkeeper.Job, head bookkeeper.Head) (bookkeeper.VersionedHead, bookkeeper.Outcome, error) {
	if batcher.Depositor == nil {
		return batcher.ledger.Create(ctx, job, head)
	}

	callCtx, cancel := context.WithTimeout(ctx, keyValueTimeout(ctx))
	defer cancel()

	created, outcome, err := batcher.ledger.Create(callCtx, job, head)
	if outcome == bookkeeper.OK || outcome == bookkeeper.Rejected {
		// Custodians could never deliver a job that is rejected.
		return created, outcome, err
	}

	deposited := batcher.Depositor.Deposit(ctx, job)
	if deposited == bookkeeper.NotDone {
		// Creating the job may still take effect late, so its outcome is returned.
		return bookkeeper.VersionedHead{}, outcome, err
	}

	return bookkeeper.VersionedHead{}, deposited, err
}

// keyValueTimeout returns how long storing a job in the key-value service may take.
func keyValueTimeout(ctx context.Context) time.Duration {
	deadline, hasDeadline := ctx.Deadline()
	if !hasDeadline {
		return maxKeyValueTime
	}

	return min(maxKeyValueTime, time.Duration(keyValueShare*float64(time.Until(deadline))))
}

// isAbsent tells whether a job that is not in the key-value service certainly does
// not exist at a custodian either, or is not one that the reader may read.
func (batcher *Batcher) isAbsent(ctx context.Context, id string, reader bookkeeper.Reader) bool {
	if batcher.Depositor == nil {
		return true
	}

	found, complete := batcher.Depositor.HasJob(ctx, id, reader)

	return !found && (complete || !batcher.ledger.Client.FailedWithin(deliveryGrace))
}
