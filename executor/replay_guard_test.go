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
	_ "limpetrail/seeder" // Makes the random draws reproducible.
)

func newTestExecutor(t *testing.T, settings Settings, service driver.Service) *Executor {
	t.Helper()

	return NewExecutor(t.Context(), kernel.NewDiscardCommon("sidecar-1"), admitter.NewFixed(64), WithSettings(settings), WithService(service))
}

func serviceRequest(id string, epoch uint64) *messenger.ExecuteRequest {
	return &messenger.ExecuteRequest{RequestId: id, Incarnation: epoch, Plain: true, Path: "/", RemainingMicros: 1e6}
}

func TestDelayedCopyNeverStarts(t *testing.T) {
	tests := []struct {
		name   string
		revoke bool
		// otherRequests is the number of other requests that are revoked in between.
		otherRequests int
		delay         time.Duration
		bodyBytes     int
	}{
		{name: "of a revoked request", revoke: true, delay: time.Minute},
		{name: "of a revoked request after the answers expired", revoke: true, delay: 6 * time.Minute},
		{name: "of a revoked request after hours", revoke: true, delay: 5 * time.Hour},
		{name: "of a revoked request after many others", revoke: true, otherRequests: 1000},
		{name: "of an answered request", delay: time.Minute},
		{name: "of an answered request after hours", delay: 5 * time.Hour},
		{name: "of an answered request after many others", otherRequests: 1000},
		{name: "of an answered request too large to keep", bodyBytes: 1 << 20, delay: time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				settings := DefaultSettings()
				settings.Records = 500
				settings.RetainBytes = 1 << 16
				service := emulator.NewService()
				executor := newTestExecutor(t, settings, service)

				go executor.Maintain(t.Context())

				epoch := executor.Epoch()
				wantCalls := 0

				if test.revoke {
					fate, _ := executor.Revoke("order-1", epoch, false)
					require.Equal(t, messenger.Fate_FATE_NOT_RUN, fate)
				} else {
					request := serviceRequest("order-1", epoch)
					request.Body = make([]byte, test.bodyBytes)
					_, err := executor.Submit(request)
					require.NoError(t, err)
					synctest.Wait()

					wantCalls = 1
				}

				for index := range test.otherRequests {
					executor.Revoke("other-"+strconv.Itoa(index), executor.Epoch(), false)
				}

				time.Sleep(test.delay)

				if run, err := executor.Submit(serviceRequest("order-1", epoch)); err == nil {
					synctest.Wait()

					fate, _ := run.Fate()
					require.NotEqual(t, messenger.Fate_FATE_RUNNING, fate)
				}

				synctest.Wait()
				require.Equal(t, wantCalls, service.CallCounts()["order-1"])
				require.LessOrEqual(t, len(executor.runs), settings.Records+1)
			})
		})
	}
}

// A request starts at most once, and never after it was reported as not run, for
// any order and delay of its copies and revocations.
func TestReportedFateHoldsForAnyOrderOfCopies(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		settings := DefaultSettings()
		settings.Records = 20
		settings.Retain = time.Minute

		ids := rapid.IntRange(1, 4).Draw(rt, "ids")
		steps := rapid.SliceOfN(rapid.IntRange(0, 99), 1, 80).Draw(rt, "steps")

		synctest.Test(t, func(t *testing.T) {
			service := emulator.NewService()
			executor := newTestExecutor(t, settings, service)

			go executor.Maintain(t.Context())

			history := &duplicateHistory{executor: executor, epochs: map[string]uint64{}, notRun: map[string]bool{}}
			for index := range ids {
				history.epochs["order-"+strconv.Itoa(index)] = executor.Epoch()
			}

			for _, step := range steps {
				history.apply("order-"+strconv.Itoa(step%ids), step)
			}

			synctest.Wait()

			for id := range history.epochs {
				require.LessOrEqual(t, service.CallCounts()[id], 1, id)
				require.False(t, history.notRun[id] && service.CallCounts()[id] > 0, "%s was reported as not run", id)
			}
		})
	})
}

func TestAnswerIsReadableUntilItExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		executor := newTestExecutor(t, DefaultSettings(), emulator.NewService())
		go executor.Maintain(t.Context())

		run, err := executor.Submit(serviceRequest("order-1", executor.Epoch()))
		require.NoError(t, err)

		time.Sleep(4 * time.Minute)
		require.Same(t, run, executor.Find("order-1"))

		events, end, _ := run.EventsAfter(0)
		require.NotEmpty(t, events)
		require.Equal(t, messenger.Fate_FATE_ANSWERED, end.GetFate())

		time.Sleep(2 * time.Minute)

		events, end, _ = run.EventsAfter(0)
		require.Empty(t, events)
		require.Equal(t, messenger.Fate_FATE_MAY_HAVE_RUN, end.GetFate())
	})
}

// duplicateHistory sends copies and revocations of requests and records the fates
// that were reported.
type duplicateHistory struct {
	executor *Executor
	// epochs holds the epoch that all copies of a request carry, by its ID.
	epochs map[string]uint64
	// notRun holds the requests that were reported as not run.
	notRun map[string]bool
}

// apply submits a copy, revokes the request, revokes another request or lets time
// pass, depending on the step.
func (history *duplicateHistory) apply(id string, step int) {
	switch {
	case step < 35:
		run, err := history.executor.Submit(serviceRequest(id, history.epochs[id]))
		if err != nil {
			return
		}

		synctest.Wait()

		fate, _ := run.Fate()
		history.notRun[id] = history.notRun[id] || fate == messenger.Fate_FATE_NOT_RUN
	case step < 60:
		fate, _ := history.executor.Revoke(id, history.epochs[id], false)
		history.notRun[id] = history.notRun[id] || fate == messenger.Fate_FATE_NOT_RUN
	case step < 80:
		history.executor.Revoke("other-"+strconv.Itoa(step), history.executor.Epoch(), false)
	default:
		time.Sleep(time.Duration(step-79) * 10 * time.Second)
	}
}
