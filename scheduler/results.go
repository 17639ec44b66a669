package scheduler

import (
	"context"

	"github.com/juju/errors"

	"limpetrail/archiver"
)

// ReadResults reads the recorded results of a job. It calls yield with those of each
// segment, then with those stored inline, and stops at the first error.
func ReadResults(ctx context.Context, segmentStore SegmentStore, record Record, yield func(results []Result) error) error {
	for _, segment := range record.Segments {
		data, err := segmentStore.Get(ctx, segment.Name, JobKey(record.ID))
		if err != nil {
			return errors.Trace(err)
		}

		if err := yieldResults(data, yield); err != nil {
			return errors.Trace(err)
		}
	}

	if len(record.Inline) == 0 {
		return nil
	}

	data, err := archiver.Decompress(record.Inline)
	if err != nil {
		return errors.Trace(err)
	}

	return yieldResults(data, yield)
}

func yieldResults(data []byte, yield func(results []Result) error) error {
	results, err := decodeResults(data)
	if err != nil {
		return errors.Trace(err)
	}

	return errors.Trace(yield(results))
}
