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

// maxLoadRatio bounds the number of attempts per request.
const maxLoadRatio = 1.1

// countingSidecar counts the requests that reach it and fails them while failing is
// set.
type countingSidecar struct {
	messenger.DRPCSidecarUnimplementedServer

	failing atomic.Bool
	calls   atomic.Int64
}

func (*countingSidecar) Hello(context.Context, *messenger.HelloRequest) (*messenger.HelloReply, error) {
	return &messenger.HelloReply{Incarnation: 7}, nil
}

func (sidecar *countingSidecar) Execute(_ *messenger.ExecuteRequest, stream messenger.DRPCSidecar_ExecuteStream) error {
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

// TestRetryBudgetBoundsAttemptsInOutage guards against retries that multiply the
// load while replicas fail. It also logs the ratio without a budget.
func TestRetryBudgetBoundsAttemptsInOutage(t *testing.T) {
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

// loadRatio sends the requests and returns the attempts per request.
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

	sidecars := []*countingSidecar{}

	for index := range replicas {
		sidecar := &countingSidecar{}
		sidecar.failing.Store(index < failing)
		sidecars = append(sidecars, sidecar)
		fleet.addFakeReplica(ctx, fmt.Sprintf("replica-%d", index), sidecar)
	}

	calls := sync.WaitGroup{}
	slowest := atomic.Int64{}

	for range requests {
		calls.Go(func() {
			started := time.Now()
			outcome := fleet.dispatcher.Do(t.Context(), fleet.newCall(modelService, true), &sink{})
			slowest.Store(max(slowest.Load(), int64(time.Since(started))))

			if outcome.Fate != classifier.Answered {
				require.Positive(t, outcome.RetryAfter)
			}
		})
		time.Sleep(time.Millisecond)
	}

	calls.Wait()
	// A request that fails does so at once, not near its deadline.
	require.Less(t, time.Duration(slowest.Load()), time.Second)

	attempts := int64(0)
	for _, sidecar := range sidecars {
		attempts += sidecar.calls.Load()
	}

	return float64(attempts) / float64(requests)
}

func TestExhaustedRetryBudgetRefusesAtOnceWithJitter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, func(settings *dispatcher.Settings) { settings.RetryBurst = 0 })
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)

		for _, name := range []string{"replica-1", "replica-2"} {
			sidecar := &countingSidecar{}
			sidecar.failing.Store(true)
			fleet.addFakeReplica(ctx, name, sidecar)
		}

		delays := map[time.Duration]bool{}
		started := time.Now()

		for range 20 {
			outcome := fleet.dispatcher.Do(t.Context(), fleet.newCall(modelService, true), &sink{})
			require.Equal(t, classifier.MayHaveRun, outcome.Fate)
			require.GreaterOrEqual(t, outcome.RetryAfter, fleet.dispatcher.Settings.RetryAfter)

			delays[outcome.RetryAfter] = true
		}

		require.Less(t, time.Since(started), time.Second)
		require.Greater(t, len(delays), 10)
	})
}
