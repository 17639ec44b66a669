package kernel

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
)

// maxQueuedLines is how many lines may wait for a slow reader of the log. At a few
// hundred bytes a line the queue stays well below a megabyte.
const maxQueuedLines = 2048

// maxWriteBytes bounds the size of one write, so that a slow reader leads to
// dropped lines and not to growing memory. It is the capacity of a pipe on Linux
// (pipe(7)).
const maxWriteBytes = 64 << 10

// maxLineBytes is the space that a write reserves for its last line and the count
// of dropped lines. Lines are a few hundred bytes long.
const maxLineBytes = 4 << 10

// Writer writes log lines in the background, so that logging never blocks. Lines
// that find the queue full are dropped and counted; the next write reports the
// count.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
}

// NewWriter returns a writer that forwards lines to out. Its goroutine runs until
// the process ends.
func NewWriter(out io.Writer) *Writer {
	writer := &Writer{lines: make(chan []byte, maxQueuedLines)}
	go writer.run(out)

	return writer
}

// Write implements io.Writer. It never blocks.
func (writer *Writer) Write(line []byte) (int, error) {
	select {
	case writer.lines <- bytes.Clone(line):
	default:
		writer.dropped.Add(1)
	}

	return len(line), nil
}

// Dropped returns how many lines were dropped since the count was last logged.
func (writer *Writer) Dropped() int64 {
	return writer.dropped.Load()
}

func (writer *Writer) run(out io.Writer) {
	for line := range writer.lines {
		line = writer.appendQueued(line)

		if dropped := writer.dropped.Swap(0); dropped > 0 {
			line = fmt.Appendf(line, "Log lines were left out. Count=%d\n", dropped)
		}

		// An error in writing the log can't be logged.
		_, _ = out.Write(line)
	}
}

// appendQueued appends queued lines to the first one. It stops where the write
// might exceed maxWriteBytes with one more line and the count of dropped lines.
func (writer *Writer) appendQueued(line []byte) []byte {
	for len(line) < maxWriteBytes-maxLineBytes {
		select {
		case next := <-writer.lines:
			line = append(line, next...)
		default:
			return line
		}
	}

	return line
}
