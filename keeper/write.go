package keeper

import (
	"context"
	"time"

	"github.com/juju/errors"
)

const (
	settleAttempts = 5
	settlePause    = 50 * time.Millisecond
)

// Proposal is a write that its writer can recognise afterwards.
type Proposal struct {
	Key string
	// Revision is the one that was read.
	Revision Revision
	Value    []byte
	// Mine tells whether a value holds this write, also when later writes
	// were added to it. It looks for the writer's unique mark.
	Mine func(value []byte) bool
}

// Write proposes a value and settles what became of it when an answer is lost:
// it proposes the same again, so that a delayed copy cannot take effect after
// the settlement, and recognises its own earlier success by its mark. The
// result is WriteUnknown, with an error, only when the service gave no usable
// answer at any attempt.
func Write(ctx context.Context, store Store, proposal Proposal) (Entry, Applied, error) {
	var last error

	for attempt := range settleAttempts {
		entry, applied, err := store.CompareAndSwap(ctx, proposal.Key, proposal.Revision, proposal.Value)

		switch {
		case applied == WriteApplied:
			return entry, WriteApplied, nil
		case applied == WriteRefused && err == nil:
			return settle(attempt, entry, proposal)
		case applied == WriteRefused && attempt == 0:
			return entry, WriteRefused, errors.Trace(err)
		}
		// A later attempt that was not made tells nothing about the first one.

		last = err

		select {
		case <-time.After(settlePause << attempt):
		case <-ctx.Done():
			return Entry{}, WriteUnknown, errors.Annotate(last, ctx.Err().Error())
		}
	}

	return Entry{}, WriteUnknown, errors.Trace(last)
}

// settle tells an earlier lost success from a real refusal. The first attempt
// has no earlier one.
func settle(attempt int, entry Entry, proposal Proposal) (Entry, Applied, error) {
	if attempt > 0 && proposal.Mine(entry.Value) {
		return entry, WriteApplied, nil
	}

	return entry, WriteRefused, nil
}
