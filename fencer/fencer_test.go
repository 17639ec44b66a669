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

func order(fence uint64) *messenger.OrderRequest {
	return &messenger.OrderRequest{
		Fence:       fence,
		Verb:        string(driver.VerbLoad),
		Model:       "forecast",
		Version:     "v1",
		LeaseMicros: uint64((10 * time.Second).Microseconds()),
	}
}

// start returns a fencer that has just been started beside the engine.
func start(t *testing.T, engine *emulator.Engine, store *emulator.Store) *fencer.Fencer {
	t.Helper()

	guard := fencer.NewFencer(kernel.Discard("sidecar-1"), engine, store)
	go guard.Run(t.Context())
	synctest.Wait()

	return guard
}

func ignoring() *emulator.Engine {
	engine := emulator.NewEngine()
	engine.Faults.Set(emulator.Switches{IgnoreFence: true})

	return engine
}

func TestOrdersOfOlderPlannersAreRefused(t *testing.T) {
	for name, scenario := range map[string]struct {
		marked  uint64
		before  []uint64
		outage  bool
		request *messenger.OrderRequest
		obeyed  bool
	}{
		"first order":                    {request: order(1), obeyed: true},
		"same planner again":             {before: []uint64{3}, request: order(3), obeyed: true},
		"newer planner":                  {before: []uint64{3}, request: order(4), obeyed: true},
		"older planner":                  {before: []uint64{3}, request: order(2)},
		"older planner after restart":    {marked: 3, request: order(2)},
		"number not readable at restart": {marked: 3, outage: true, request: order(3)},
		"lease of the sender has ended":  {request: &messenger.OrderRequest{Fence: 1, LeaseMicros: 1000}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engine, store := ignoring(), emulator.NewStore()

				if scenario.marked > 0 {
					require.NoError(t, fencer.WriteMark(t.Context(), store, fencer.Mark{Fence: scenario.marked, Holder: "entry-1"}))
				}

				store.Faults.Set(emulator.Switches{Outage: scenario.outage})
				guard := start(t, engine, store)

				for _, fence := range scenario.before {
					require.True(t, guard.Take(t.Context(), order(fence)).GetObeyed())
				}

				obeyed := len(engine.Orders())
				reply := guard.Take(t.Context(), scenario.request)
				require.Equal(t, scenario.obeyed, reply.GetObeyed(), reply.GetReason())

				if scenario.obeyed {
					obeyed++
				}

				require.Len(t, engine.Orders(), obeyed)
			})
		})
	}
}

func TestFencerObeysOnceTheServiceIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine, store := ignoring(), emulator.NewStore()
		store.Faults.Set(emulator.Switches{Outage: true})
		guard := start(t, engine, store)
		require.False(t, guard.Take(t.Context(), order(1)).GetObeyed())

		store.Faults.Set(emulator.Switches{})
		time.Sleep(5 * time.Second)
		require.True(t, guard.Take(t.Context(), order(1)).GetObeyed())
	})
}

func TestMarkNeverFallsAndSurvivesLostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := emulator.NewStore()
		store.Faults.Set(emulator.Switches{DropAnswers: 1})
		require.NoError(t, fencer.WriteMark(t.Context(), store, fencer.Mark{Fence: 2, Holder: "entry-2"}))
		require.Error(t, fencer.WriteMark(t.Context(), store, fencer.Mark{Fence: 1, Holder: "entry-1"}))

		mark, _, err := fencer.ReadMark(t.Context(), store)
		require.NoError(t, err)
		require.Equal(t, fencer.Mark{Fence: 2, Holder: "entry-2"}, mark)
	})
}
