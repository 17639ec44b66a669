package executor

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"limpetrail/emulator"
	"limpetrail/messenger"
)

func TestDataFramesAreBoundedAndComplete(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sizes := rapid.SliceOfN(rapid.IntRange(0, maxFrameBytes+10), 1, 40).Draw(rt, "sizes")
		end := &messenger.Frame{Fate: messenger.Fate_FATE_ANSWERED, FinishReason: "stop"}
		events := [][]byte{}

		for index, size := range sizes {
			event := make([]byte, size+1)
			event[0] = byte(index)
			events = append(events, event)
		}

		sent := 0
		for sent < len(events) {
			frame := dataFrame(uint64(sent), events[sent:], end)
			bytes := 0

			for index, event := range frame.GetEvents() {
				require.Equal(t, byte(sent+index), event[0])

				bytes += len(event)
			}

			require.True(t, bytes <= maxFrameBytes || len(frame.GetEvents()) == 1)

			sent += len(frame.GetEvents())
			require.Equal(t, sent == len(events), frame.GetComplete())
			require.Equal(t, frame.GetComplete(), frame.GetFinishReason() == "stop")
		}
	})
}

func TestDrainedSidecarKeepsLastAnswerReadable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := emulator.NewService()
		service.Faults.Set(emulator.FaultSwitches{Delay: 5 * time.Second})

		executor := newTestExecutor(t, DefaultSettings(), service)
		request := serviceRequest("order-1", executor.Epoch())
		request.RemainingMicros = uint64(time.Minute.Microseconds())
		run, err := executor.Submit(request)
		require.NoError(t, err)

		executor.Drain()

		started := time.Now()
		_, err = executor.Submit(serviceRequest("order-2", executor.Epoch()))
		require.ErrorContains(t, err, "leaving")

		executor.Wait()
		executor.Linger(t.Context())

		require.Equal(t, 10*time.Second, time.Since(started))
		require.Same(t, run, executor.Find("order-1"))

		fate, _ := run.Fate()
		require.Equal(t, messenger.Fate_FATE_ANSWERED, fate)
	})
}
