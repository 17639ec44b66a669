package fencer

import (
	"context"
	"encoding/json"
	"strconv"

	"github.com/juju/errors"

	"limpetrail/keeper"
)

// MarkKey is where the newest planner's fencing number lies in the key-value
// service. A planner writes it before its first order.
const MarkKey = "limpetrail/planner/fence"

// Mark is the record of the newest planner.
type Mark struct {
	// Fence only ever rises.
	Fence uint64
	// Holder is the entry that plans.
	Holder string
}

// ReadMark returns the newest planner's mark; its fence is 0 before the first.
func ReadMark(ctx context.Context, store keeper.Store) (Mark, keeper.Revision, error) {
	entry, err := store.Get(ctx, MarkKey)
	if err != nil {
		return Mark{}, 0, errors.Trace(err)
	}

	mark := Mark{}
	if entry.Revision == 0 {
		return mark, 0, nil
	}

	err = json.Unmarshal(entry.Value, &mark)

	return mark, entry.Revision, errors.Annotatef(err, "decoding %s", MarkKey)
}

// WriteMark raises the mark to a planner's fence. It returns a Forbidden error
// when a newer planner has raised it further.
func WriteMark(ctx context.Context, store keeper.Store, mark Mark) error {
	for {
		present, revision, err := ReadMark(ctx, store)
		if err != nil {
			return errors.Trace(err)
		}

		if present.Fence >= mark.Fence {
			return sameOrNewer(present, mark)
		}

		value, err := json.Marshal(mark)
		if err != nil {
			return errors.Trace(err)
		}

		_, applied, err := keeper.Write(ctx, store, keeper.Proposal{
			Key:      MarkKey,
			Revision: revision,
			Value:    value,
			Mine:     func(found []byte) bool { return string(found) == string(value) },
		})
		if err != nil || applied == keeper.WriteApplied {
			return errors.Trace(err)
		}
	}
}

func sameOrNewer(present, mark Mark) error {
	if present == mark {
		return nil
	}

	return errors.Forbiddenf("planning with fencing number %s after %s",
		strconv.FormatUint(mark.Fence, 10), strconv.FormatUint(present.Fence, 10))
}
