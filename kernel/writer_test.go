package kernel_test

import (
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/kernel"
)

// blockedWriter blocks every write until it is opened, as a pipe does whose
// reader has stopped reading.
type blockedWriter struct {
	opened chan struct{}

	mutex  sync.Mutex
	writes []string
}

// Write implements io.Writer.
func (writer *blockedWriter) Write(text []byte) (int, error) {
	<-writer.opened

	writer.mutex.Lock()
	defer writer.mutex.Unlock()

	writer.writes = append(writer.writes, string(text))

	return len(text), nil
}

// recordedWrites returns a copy of the writes so far.
func (writer *blockedWriter) recordedWrites() []string {
	writer.mutex.Lock()
	defer writer.mutex.Unlock()

	return append([]string{}, writer.writes...)
}

// Many more lines than the queue holds are written while the log is not read:
// each line is either written later or counted as dropped.
func TestWriterDropsAndCountsLinesOfSlowReader(t *testing.T) {
	const (
		lineCount = 5000
		// maxWriteBytes bounds one write, so that a slow reader costs no more
		// memory than the queue.
		maxWriteBytes = 64 << 10
		timeout       = 30 * time.Second
	)

	blocked := &blockedWriter{opened: make(chan struct{})}
	writer := kernel.NewWriter(blocked)
	line := strings.Repeat("x", 299) + "\n"

	for range lineCount {
		count, err := writer.Write([]byte(line))
		require.NoError(t, err)
		require.Equal(t, len(line), count)
	}

	close(blocked.opened)

	// The writer may count in several of its writes, and keeps what came after the last one.
	dropped := func(written string) int {
		total := int(writer.Dropped())

		for _, match := range regexp.MustCompile(`Log lines were left out\. Count=(\d+)`).FindAllStringSubmatch(written, -1) {
			count, err := strconv.Atoi(match[1])
			if err != nil {
				return -1
			}

			total += count
		}

		return total
	}

	require.Eventually(t, func() bool {
		written := strings.Join(blocked.recordedWrites(), "")

		return strings.Count(written, line)+dropped(written) == lineCount
	}, timeout, time.Millisecond, "each line is either written or counted as dropped")
	require.Positive(t, dropped(strings.Join(blocked.recordedWrites(), "")))

	for _, text := range blocked.recordedWrites() {
		require.LessOrEqual(t, len(text), maxWriteBytes)
	}

	require.Contains(t, strings.Join(blocked.recordedWrites(), ""), "Log lines were left out.")
}
