package executor

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"limpetrail/admitter"
	"limpetrail/driver"
	"limpetrail/emulator"
	"limpetrail/kernel"
	"limpetrail/messenger"
	_ "limpetrail/seeder" // Draws are the same in each run.
)

func newTestExecutor(t *testing.T, settings Settings, service driver.Service) *Executor {
	t.Helper()

	return NewExecutor(t.Context(), kernel.Discard("sidecar-1"), admitter.NewFixed(64), WithSettings(settings), WithService(service))
}

func orderRequest(id string, number uint64) *messenger.ExecuteRequest {
	return &messenger.ExecuteRequest{RequestId: id, Incarnation: number, Plain: true, Path: "/", RemainingMicros: 1e6}
}

func TestDelayedCopyNeverStarts(t *testing.T) {
	tests := []struct {
		name   string
		revoke bool
		// flood is the number of other requests that are revoked in between.
		flood int
		delay time.Duration
		body  int
	}{
		{name: "of a revoked request", revoke: true, delay: time.Minute},
		{name: "of a revoked request after the answers' time", revoke: true, delay: 6 * time.Minute},
		{name: "of a revoked request after hours", revoke: true, delay: 5 * time.Hour},
		{name: "of a revoked request after a flood", revoke: true, flood: 1000},
		{name: "of an answered request", delay: time.Minute},
		{name: "of an answered request after hours", delay: 5 * time.Hour},
		{name: "of an answered request after a flood", flood: 1000},
		{name: "of an answered request too large to keep", body: 1 << 20, delay: time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				settings := DefaultSettings()
				settings.Records = 500
				settings.RetainBytes = 1 << 16
				service := emulator.NewService()
				executor := newTestExecutor(t, settings, service)

				go executor.Tend(t.Context())

				number := executor.Number()
				acts := 0

				if test.revoke {
					fate, _ := executor.Revoke("order-1", number, false)
					require.Equal(t, messenger.Fate_FATE_NOT_RUN, fate)
				} else {
					request := orderRequest("order-1", number)
					request.Body = make([]byte, test.body)
					_, err := executor.Submit(request)
					require.NoError(t, err)
					synctest.Wait()

					acts = 1
				}

				for index := range test.flood {
					executor.Revoke("other-"+strconv.Itoa(index), executor.Number(), false)
				}

				time.Sleep(test.delay)

				if run, err := executor.Submit(orderRequest("order-1", number)); err == nil {
					synctest.Wait()

					fate, _ := run.Fate()
					require.NotEqual(t, messenger.Fate_FATE_RUNNING, fate)
				}

				synctest.Wait()
				require.Equal(t, acts, service.Acts()["order-1"])
				require.LessOrEqual(t, len(executor.runs), settings.Records+1)
			})
		})
	}
}

// A request starts at most once, and never after it was said to be not run,
// whatever the order and the delays of its copies and revocations.
func TestFateHoldsForAllOrdersOfCopies(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		settings := DefaultSettings()
		settings.Records = 20
		settings.Retain = time.Minute

		ids := rapid.IntRange(1, 4).Draw(rt, "ids")
		steps := rapid.SliceOfN(rapid.IntRange(0, 99), 1, 80).Draw(rt, "steps")

		synctest.Test(t, func(t *testing.T) {
			service := emulator.NewService()
			executor := newTestExecutor(t, settings, service)

			go executor.Tend(t.Context())

			history := &copies{executor: executor, numbers: map[string]uint64{}, notRun: map[string]bool{}}
			for index := range ids {
				history.numbers["order-"+strconv.Itoa(index)] = executor.Number()
			}

			for _, step := range steps {
				history.take("order-"+strconv.Itoa(step%ids), step)
			}

			synctest.Wait()

			for id := range history.numbers {
				require.LessOrEqual(t, service.Acts()[id], 1, id)
				require.False(t, history.notRun[id] && service.Acts()[id] > 0, "%s was said to be not run", id)
			}
		})
	})
}

func TestAnswerIsReadableUntilItsTimeIsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		executor := newTestExecutor(t, DefaultSettings(), emulator.NewService())
		go executor.Tend(t.Context())

		run, err := executor.Submit(orderRequest("order-1", executor.Number()))
		require.NoError(t, err)

		time.Sleep(4 * time.Minute)
		require.Same(t, run, executor.Find("order-1"))

		events, end, _ := run.After(0)
		require.NotEmpty(t, events)
		require.Equal(t, messenger.Fate_FATE_ANSWERED, end.GetFate())

		time.Sleep(2 * time.Minute)

		events, end, _ = run.After(0)
		require.Empty(t, events)
		require.Equal(t, messenger.Fate_FATE_MAY_HAVE_RUN, end.GetFate())
	})
}

// copies is what was said about requests whose copies arrive at any time.
type copies struct {
	executor *Executor
	numbers  map[string]uint64
	// notRun holds the requests that were said to be not run.
	notRun map[string]bool
}

// take lets a copy or a revocation arrive, floods the sidecar or lets time pass.
func (copies *copies) take(id string, step int) {
	switch {
	case step < 35:
		run, err := copies.executor.Submit(orderRequest(id, copies.numbers[id]))
		if err != nil {
			return
		}

		synctest.Wait()

		fate, _ := run.Fate()
		copies.notRun[id] = copies.notRun[id] || fate == messenger.Fate_FATE_NOT_RUN
	case step < 60:
		fate, _ := copies.executor.Revoke(id, copies.numbers[id], false)
		copies.notRun[id] = copies.notRun[id] || fate == messenger.Fate_FATE_NOT_RUN
	case step < 80:
		copies.executor.Revoke("other-"+strconv.Itoa(step), copies.executor.Number(), false)
	default:
		time.Sleep(time.Duration(step-79) * 10 * time.Second)
	}
}
