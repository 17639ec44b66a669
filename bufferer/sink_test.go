package bufferer_test

import (
	"net/http"
	"net/http/httptest"
	"os"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/bufferer"
	"limpetrail/forwarder"
	"limpetrail/reserver"
)

// slowWriter is the connection to a caller that takes some bytes each second, or none.
type slowWriter struct {
	*httptest.ResponseRecorder

	bytesPerSecond int
	// deadline is in Unix nanoseconds.
	deadline atomic.Int64
}

// SetWriteDeadline implements the interface of http.ResponseController.
func (writer *slowWriter) SetWriteDeadline(deadline time.Time) error {
	writer.deadline.Store(deadline.UnixNano())

	return nil
}

// Write implements http.ResponseWriter.
func (writer *slowWriter) Write(part []byte) (int, error) {
	if writer.bytesPerSecond == 0 {
		for time.Now().UnixNano() < writer.deadline.Load() {
			time.Sleep(10 * time.Millisecond)
		}

		return 0, os.ErrDeadlineExceeded
	}

	time.Sleep(time.Duration(len(part)) * time.Second / time.Duration(writer.bytesPerSecond))

	return writer.ResponseRecorder.Write(part) //nolint:wrapcheck // It never fails.
}

// directSink writes to the caller.
type directSink struct {
	http.ResponseWriter
}

// WriteHead implements forwarder.Sink.
func (sink directSink) WriteHead(status int, _ http.Header, _ int64) {
	sink.WriteHeader(status)
}

// Write implements forwarder.Sink.
func (sink directSink) Write(part []byte) error {
	_, err := sink.ResponseWriter.Write(part)

	return err //nolint:wrapcheck // The sink looks at what the connection returned.
}

// A slow reader kept the delivery, and with it the server's place, until it had read the whole answer.
// A short answer must leave the delivery at once; a long one is buffered up to 128 KB.
func TestAnswersForSlowReaders(t *testing.T) {
	const callTime, routeTime = 5 * time.Second, 10 * time.Second

	for name, scenario := range map[string]struct {
		bytesPerSecond, answer int
		budget                 int64
		// written is when the delivery is done, and ended when the caller has the answer or is cut off.
		written, ended time.Duration
		cut            bool
	}{
		"short answer":                     {bytesPerSecond: 16 << 10, answer: 128 << 10, budget: 1 << 20, ended: 8 * time.Second},
		"long answer":                      {bytesPerSecond: 64 << 10, answer: 256 << 10, budget: 1 << 20, written: 2 * time.Second, ended: 4 * time.Second},
		"long answer, too slow":            {bytesPerSecond: 16 << 10, answer: 512 << 10, budget: 1 << 20, written: callTime, ended: callTime + time.Second, cut: true},
		"nothing is taken":                 {answer: 1 << 10, budget: 1 << 20, ended: routeTime, cut: true},
		"budget is spent":                  {bytesPerSecond: 32 << 10, answer: 128 << 10, written: 3875 * time.Millisecond, ended: 4 * time.Second},
		"budget is spent, nothing taken":   {answer: 128 << 10, written: callTime, ended: callTime + time.Second, cut: true},
		"reads at once with a full buffer": {bytesPerSecond: 1 << 30, answer: 64 << 10, budget: 1 << 20},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				subject := reserver.NewReserver(4 * scenario.budget)
				writer := &slowWriter{ResponseRecorder: httptest.NewRecorder(), bytesPerSecond: scenario.bytesPerSecond}
				startedAt, answer := time.Now(), make([]byte, scenario.answer)
				sink := bufferer.NewSink(directSink{writer}, http.NewResponseController(writer), subject.Open(reserver.Owner{}), routeTime, startedAt.Add(callTime))
				outcome := forwarder.Answered

				for index := range answer {
					answer[index] = byte(index)
				}

				for begin := 0; begin < len(answer) && outcome == forwarder.Answered; begin += 1 << 10 {
					if err := sink.Write(answer[begin : begin+1<<10]); err != nil {
						outcome = forwarder.Cancelled
					}
				}

				require.InDelta(t, scenario.written, time.Since(startedAt), float64(400*time.Millisecond))
				require.LessOrEqual(t, subject.Reserved(), int64(bufferer.MaxSinkBytes))

				err := sink.Finish(outcome)
				require.Equal(t, scenario.cut, err != nil, err)
				require.InDelta(t, scenario.ended, time.Since(startedAt), float64(1100*time.Millisecond))
				require.Zero(t, subject.Reserved())

				if !scenario.cut {
					require.Equal(t, answer, writer.Body.Bytes())
				}
			})
		})
	}
}
