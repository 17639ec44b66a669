package keeper

import (
	"context"
	"time"

	"github.com/juju/errors"
)

const (
	maxWriteAttempts     = 5
	firstWriteRetryPause = 50 * time.Millisecond
)

// ConditionalWrite is a conditional write whose value carries a unique mark of its writer.
type ConditionalWrite struct {
	Key string
	// Revision is the key's revision that the writer read.
	Revision Revision
	Value    []byte
	// IsOwnWrite returns whether a value includes this write, possibly with later writes
	// applied to it. It looks for the writer's unique mark.
	IsOwnWrite func(value []byte) bool
}

// WriteWithRetry writes a value and determines the outcome if an answer is lost: it
// sends the same write again, so that a delayed copy of the write cannot take effect
// after WriteWithRetry returns, and recognises an earlier success by the mark. The
// outcome is WriteUnknown, with an error, only if no attempt got a usable answer.
func WriteWithRetry(ctx context.Context, store Store, write ConditionalWrite) (Entry, WriteOutcome, error) {
	var lastErr error

	for attempt := range maxWriteAttempts {
		entry, outcome, err := store.CompareAndSwap(ctx, write.Key, write.Revision, write.Value)

		switch {
		case outcome == WriteApplied:
			return entry, WriteApplied, nil
		case outcome == WriteRefused && err == nil:
			return resolveRefusal(attempt, entry, write)
		case outcome == WriteRefused && attempt == 0:
			return entry, WriteRefused, errors.Trace(err)
		}
		// A later attempt that was not sent says nothing about the first one.

		lastErr = err

		select {
		case <-time.After(firstWriteRetryPause << attempt):
		case <-ctx.Done():
			return Entry{}, WriteUnknown, errors.Annotate(lastErr, ctx.Err().Error())
		}
	}

	return Entry{}, WriteUnknown, errors.Trace(lastErr)
}

// resolveRefusal returns WriteApplied if a refused retry shows that an earlier
// attempt was applied, and WriteRefused otherwise.
func resolveRefusal(attempt int, entry Entry, write ConditionalWrite) (Entry, WriteOutcome, error) {
	if attempt > 0 && write.IsOwnWrite(entry.Value) {
		return entry, WriteApplied, nil
	}

	return entry, WriteRefused, nil
}
