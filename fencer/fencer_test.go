package fencer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/driver"
	"limpetrail/emulator"
	"limpetrail/fencer"
	"limpetrail/kernel"
	"limpetrail/messenger"
)

func newOrder(fence uint64) *messenger.OrderRequest {
	return &messenger.OrderRequest{
		Fence:       fence,
		Verb:        string(driver.VerbLoad),
		Model:       "forecast",
		Version:     "v1",
		LeaseMicros: uint64((10 * time.Second).Microseconds()),
	}
}

// startFencer returns a running fencer that guards the engine.
func startFencer(t *testing.T, engine *emulator.Engine, store *emulator.Store) *fencer.Fencer {
	t.Helper()

	testFencer := fencer.NewFencer(kernel.NewDiscardCommon("sidecar-1"), engine, store)
	go testFencer.Run(t.Context())
	synctest.Wait()

	return testFencer
}

func newEngineIgnoringFences() *emulator.Engine {
	engine := emulator.NewEngine()
	engine.Faults.Set(emulator.FaultSwitches{IgnoreFence: true})

	return engine
}

func TestOrdersOfOlderPlannersAreRefused(t *testing.T) {
	for name, scenario := range map[string]struct {
		storedFence   uint64
		earlierFences []uint64
		outage        bool
		request       *messenger.OrderRequest
		obeyed        bool
	}{
		"first order":                              {request: newOrder(1), obeyed: true},
		"same planner again":                       {earlierFences: []uint64{3}, request: newOrder(3), obeyed: true},
		"newer planner":                            {earlierFences: []uint64{3}, request: newOrder(4), obeyed: true},
		"older planner":                            {earlierFences: []uint64{3}, request: newOrder(2)},
		"older planner after restart":              {storedFence: 3, request: newOrder(2)},
		"stored number not readable after restart": {storedFence: 3, outage: true, request: newOrder(3)},
		"lease of the sender has ended":            {request: &messenger.OrderRequest{Fence: 1, LeaseMicros: 1000}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engine, store := newEngineIgnoringFences(), emulator.NewStore()

				if scenario.storedFence > 0 {
					require.NoError(t, fencer.RaiseFence(t.Context(), store, fencer.FenceRecord{Fence: scenario.storedFence, Holder: "entry-1"}))
				}

				store.Faults.Set(emulator.FaultSwitches{Outage: scenario.outage})
				testFencer := startFencer(t, engine, store)

				for _, fence := range scenario.earlierFences {
					require.True(t, testFencer.ExecuteOrder(t.Context(), newOrder(fence)).GetObeyed())
				}

				wantedOrders := len(engine.ObeyedOrders())
				reply := testFencer.ExecuteOrder(t.Context(), scenario.request)
				require.Equal(t, scenario.obeyed, reply.GetObeyed(), reply.GetReason())

				if scenario.obeyed {
					wantedOrders++
				}

				require.Len(t, engine.ObeyedOrders(), wantedOrders)
			})
		})
	}
}

func TestOrdersAreAcceptedOnceTheStoreIsReadable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine, store := newEngineIgnoringFences(), emulator.NewStore()
		store.Faults.Set(emulator.FaultSwitches{Outage: true})
		testFencer := startFencer(t, engine, store)
		require.False(t, testFencer.ExecuteOrder(t.Context(), newOrder(1)).GetObeyed())

		store.Faults.Set(emulator.FaultSwitches{})
		time.Sleep(5 * time.Second)
		require.True(t, testFencer.ExecuteOrder(t.Context(), newOrder(1)).GetObeyed())
	})
}

func TestStoredFenceNeverFallsAndSurvivesLostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := emulator.NewStore()
		store.Faults.Set(emulator.FaultSwitches{DropAnswers: 1})
		require.NoError(t, fencer.RaiseFence(t.Context(), store, fencer.FenceRecord{Fence: 2, Holder: "entry-2"}))
		require.Error(t, fencer.RaiseFence(t.Context(), store, fencer.FenceRecord{Fence: 1, Holder: "entry-1"}))

		record, _, err := fencer.ReadFence(t.Context(), store)
		require.NoError(t, err)
		require.Equal(t, fencer.FenceRecord{Fence: 2, Holder: "entry-2"}, record)
	})
}
