package scheduler

import (
	"bytes"
	"context"
	"encoding/json"

	"github.com/juju/errors"

	"limpetrail/archiver"
)

// DecodeLines decodes stored lines of a file.
func DecodeLines(data []byte) ([]Line, error) {
	lines := []Line{}

	for text := range bytes.Lines(data) {
		line := Line{}
		if err := json.Unmarshal(text, &line); err != nil {
			return nil, errors.Annotate(err, "decoding a line of a file")
		}

		lines = append(lines, line)
	}

	return lines, nil
}

// segmentLines returns all lines of the file segment that contains the item, and
// the index of the first. An inline file counts as one segment.
func (scheduler *Scheduler) segmentLines(ctx context.Context, fileID string, index int) ([]Line, int, error) {
	file, err := scheduler.fileRecord(ctx, fileID)
	if err != nil {
		return nil, 0, errors.Trace(err)
	}

	if len(file.Segments) == 0 {
		lines, err := scheduler.decodedChunk(file.ID, func() ([]byte, error) { return archiver.Decompress(file.Inline) })

		return lines, 0, errors.Trace(err)
	}

	segment, err := file.Segment(index)
	if err != nil {
		return nil, 0, errors.Trace(err)
	}

	lines, err := scheduler.decodedChunk(segment.Name, func() ([]byte, error) {
		return scheduler.SegmentStore.Get(ctx, segment.Name, FileKey(fileID))
	})

	return lines, segment.First, errors.Trace(err)
}

// decodedChunk returns the lines of a segment from the cache, or loads and
// decodes them.
func (scheduler *Scheduler) decodedChunk(name string, load func() ([]byte, error)) ([]Line, error) {
	if lines, found := scheduler.chunks.get(name); found {
		return lines, nil
	}

	data, err := load()
	if err != nil {
		return nil, errors.Trace(err)
	}

	lines, err := DecodeLines(data)
	if err != nil {
		return nil, errors.Trace(err)
	}

	scheduler.chunks.put(name, lines)

	return lines, nil
}

// fileRecord returns the record of a job's file. It is cached, as it never
// changes.
func (scheduler *Scheduler) fileRecord(ctx context.Context, id string) (File, error) {
	scheduler.mutex.Lock()
	cached, found := scheduler.files[id]
	scheduler.mutex.Unlock()

	if found {
		return cached, nil
	}

	ctx, cancel := context.WithTimeout(ctx, scheduler.Settings.CallLimit)
	defer cancel()

	file, err := scheduler.Ledger.File(ctx, id)
	if err != nil {
		return File{}, errors.Trace(err)
	}

	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()

	if len(scheduler.files) >= maxCachedFiles {
		clear(scheduler.files)
	}

	scheduler.files[id] = file

	return file, nil
}
