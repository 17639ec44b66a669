package dispatcher_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/classifier"
	"limpetrail/dispatcher"
	"limpetrail/messenger"
)

// maxLoadRatio bounds all attempts over the requests that callers sent.
const maxLoadRatio = 1.1

// meteredSidecar counts what reaches it and fails when it is told to.
type meteredSidecar struct {
	messenger.DRPCSidecarUnimplementedServer

	failing atomic.Bool
	calls   atomic.Int64
}

func (*meteredSidecar) Hello(context.Context, *messenger.HelloRequest) (*messenger.HelloReply, error) {
	return &messenger.HelloReply{Incarnation: 7}, nil
}

func (sidecar *meteredSidecar) Execute(_ *messenger.ExecuteRequest, stream messenger.DRPCSidecar_ExecuteStream) error {
	sidecar.calls.Add(1)

	if sidecar.failing.Load() {
		return stream.Send(&messenger.Frame{
			Kind:        messenger.FrameKind_FRAME_KIND_REFUSED,
			Fate:        messenger.Fate_FATE_MAY_HAVE_RUN,
			Reason:      "the backend server gave no whole answer",
			Incarnation: 7,
		})
	}

	return stream.Send(&messenger.Frame{Kind: messenger.FrameKind_FRAME_KIND_DATA, Events: [][]byte{[]byte("done")}, Complete: true})
}

// TestRetriesDoNotMultiplyAnOutage prints the load with a part of the replicas
// failing, beside the load without a budget.
func TestRetriesDoNotMultiplyAnOutage(t *testing.T) {
	const (
		replicas = 12
		requests = 1500
	)

	for _, failing := range []int{0, 1, replicas / 3, replicas} {
		t.Run(fmt.Sprintf("%d of %d fail", failing, replicas), func(t *testing.T) {
			ratios := map[string]float64{}

			for name, share := range map[string]float64{"with budget": dispatcher.DefaultSettings().RetryShare, "without": 3 * requests} {
				synctest.Test(t, func(t *testing.T) {
					ratios[name] = loadRatio(t, share, replicas, failing, requests)
				})
			}

			t.Logf("attempts per request: %.3f with the budget, %.3f without, target at most %.1f", ratios["with budget"], ratios["without"], maxLoadRatio)
			require.LessOrEqual(t, ratios["with budget"], maxLoadRatio)
		})
	}
}

// loadRatio sends the requests and returns attempts per request.
func loadRatio(t *testing.T, share float64, replicas, failing, requests int) float64 {
	t.Helper()

	fleet := newFleet(t, func(settings *dispatcher.Settings) {
		settings.RetryShare = share
		if share > 1 {
			settings.RetryBurst = share
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)

	sidecars := []*meteredSidecar{}

	for index := range replicas {
		sidecar := &meteredSidecar{}
		sidecar.failing.Store(index < failing)
		sidecars = append(sidecars, sidecar)
		fleet.addFake(ctx, fmt.Sprintf("replica-%d", index), sidecar)
	}

	calls := sync.WaitGroup{}
	slowest := atomic.Int64{}

	for range requests {
		calls.Go(func() {
			begun := time.Now()
			outcome := fleet.dispatcher.Do(t.Context(), fleet.call(modelService, true), &sink{})
			slowest.Store(max(slowest.Load(), int64(time.Since(begun))))

			if outcome.Fate != classifier.Answered {
				require.Positive(t, outcome.RetryAfter)
			}
		})
		time.Sleep(time.Millisecond)
	}

	calls.Wait()
	// A request that is given up is told so at once, not near its deadline.
	require.Less(t, time.Duration(slowest.Load()), time.Second)

	attempts := int64(0)
	for _, sidecar := range sidecars {
		attempts += sidecar.calls.Load()
	}

	return float64(attempts) / float64(requests)
}

func TestSpentBudgetRefusesAtOnceWithSpreadTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, func(settings *dispatcher.Settings) { settings.RetryBurst = 0 })
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)

		for _, name := range []string{"replica-1", "replica-2"} {
			sidecar := &meteredSidecar{}
			sidecar.failing.Store(true)
			fleet.addFake(ctx, name, sidecar)
		}

		times := map[time.Duration]bool{}
		begun := time.Now()

		for range 20 {
			outcome := fleet.dispatcher.Do(t.Context(), fleet.call(modelService, true), &sink{})
			require.Equal(t, classifier.MayHaveRun, outcome.Fate)
			require.GreaterOrEqual(t, outcome.RetryAfter, fleet.dispatcher.Settings.RetryAfter)

			times[outcome.RetryAfter] = true
		}

		require.Less(t, time.Since(begun), time.Second)
		require.Greater(t, len(times), 10)
	})
}
