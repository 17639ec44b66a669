package fencer

import (
	"context"
	"encoding/json"
	"strconv"

	"github.com/juju/errors"

	"limpetrail/keeper"
)

// FenceKey is the key of the newest planner's fencing number in the key-value
// service. A planner writes it before its first order.
const FenceKey = "limpetrail/planner/fence"

// FenceRecord is the stored fencing number of the newest planner.
type FenceRecord struct {
	// Fence never decreases.
	Fence uint64
	// Holder is the entry whose planner wrote the record.
	Holder string
}

// ReadFence returns the stored record and its revision; Fence is 0 if no planner
// has written one yet.
func ReadFence(ctx context.Context, store keeper.Store) (FenceRecord, keeper.Revision, error) {
	entry, err := store.Get(ctx, FenceKey)
	if err != nil {
		return FenceRecord{}, 0, errors.Trace(err)
	}

	record := FenceRecord{}
	if entry.Revision == 0 {
		return record, 0, nil
	}

	err = json.Unmarshal(entry.Value, &record)

	return record, entry.Revision, errors.Annotatef(err, "decoding %s", FenceKey)
}

// RaiseFence raises the stored fencing number to that of a planner. It returns a
// Forbidden error if another planner has stored the same or a higher number.
func RaiseFence(ctx context.Context, store keeper.Store, record FenceRecord) error {
	for {
		stored, revision, err := ReadFence(ctx, store)
		if err != nil {
			return errors.Trace(err)
		}

		if stored.Fence >= record.Fence {
			return checkStored(stored, record)
		}

		value, err := json.Marshal(record)
		if err != nil {
			return errors.Trace(err)
		}

		_, outcome, err := keeper.WriteWithRetry(ctx, store, keeper.ConditionalWrite{
			Key:        FenceKey,
			Revision:   revision,
			Value:      value,
			IsOwnWrite: func(current []byte) bool { return string(current) == string(value) },
		})
		if err != nil || outcome == keeper.WriteApplied {
			return errors.Trace(err)
		}
	}
}

// checkStored returns no error if the stored record is the planner's own, for
// example from an earlier write whose answer was lost.
func checkStored(stored, record FenceRecord) error {
	if stored == record {
		return nil
	}

	return errors.Forbiddenf("planning with fencing number %s is refused: the stored number is %s",
		strconv.FormatUint(record.Fence, 10), strconv.FormatUint(stored.Fence, 10))
}
