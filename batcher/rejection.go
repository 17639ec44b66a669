package batcher

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// minSegmentBytes is the shortest limit that is tried for a value.
	minSegmentBytes = 4 << 10
	// rejectedPause is how long a job is left out of commits whose shortest segment is rejected.
	rejectedPause = 5 * time.Second
)

// rejections is what the key-value service's rejections show of the segments of a job.
type rejections struct {
	// alone is set until the next commit if a transaction of several jobs was rejected, so that
	// only the one at fault is held up.
	alone bool
	// valueBytes is the limit of values that were not rejected yet; 0 for that of the service.
	valueBytes int
	// pausedUntil is when a job that cannot be committed is tried again.
	pausedUntil time.Time
}

// limit returns the limit of the job's next value.
func (rejections *rejections) limit(limit int) int {
	if rejections.valueBytes == 0 {
		return limit
	}

	return min(limit, rejections.valueBytes)
}

// applyRejection lets the results of a rejected transaction be proposed in another way: first each
// job's alone, then in shorter values. A job that cannot be committed at all must not keep the
// others out.
func (batcher *Batcher) applyRejection(ctx context.Context, proposals []proposal, err error) {
	for _, proposal := range proposals {
		batcher.withdrawRejected(proposal, len(proposals) == 1, err)
	}

	if len(proposals) > 1 {
		return
	}

	// The answer may have been wrong, and the results committed.
	active := proposals[0].active
	if err := active.record.Refresh(ctx, batcher.ledger, 0); err != nil {
		batcher.Log.WithField("JobID", active.job.ID).WithError(err).Info("Committed results could not be read.")
	}
}

func (batcher *Batcher) withdrawRejected(proposal proposal, alone bool, err error) {
	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()

	active := proposal.active
	entry := batcher.Log.WithFields(logrus.Fields{
		"JobID": active.job.ID, "First": proposal.segment.First, "Bytes": len(proposal.value), "Alone": alone, "Error": err,
	})

	active.withdraw()

	switch {
	case !alone:
		active.rejections.alone = true
		entry.Warn("Key-value service rejected results of several jobs; committing each job's alone.")
	case len(proposal.value) > minSegmentBytes:
		active.rejections.valueBytes = max(minSegmentBytes, len(proposal.value)/2)
		entry.WithField("Limit", active.rejections.valueBytes).Warn("Key-value service rejected results; committing them in shorter values.")
	default:
		active.rejections.pausedUntil = time.Now().Add(rejectedPause)
		time.AfterFunc(rejectedPause, func() { signal(batcher.commitSignal) })
		entry.Error("Key-value service rejects results of a job; they are tried again later.")
	}
}
