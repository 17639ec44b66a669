package keeper_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/emulator"
	"limpetrail/keeper"
	"limpetrail/kernel"
)

// newRelayedClient returns a client with a catalog and a relay, which are two views
// of the same emulated service with faults of their own.
func newRelayedClient() (client *keeper.CatalogClient, direct, relay *emulator.Catalog) {
	direct = emulator.NewCatalog()
	relay = direct.NewClient()
	settings := keeper.DefaultSettings()
	settings.CallTimeout = time.Second

	return keeper.NewCatalogClient(kernel.NewDiscardCommon("entry"), direct, settings, keeper.WithRelay(relay)), direct, relay
}

func newWrite(key string) keeper.Transaction {
	return keeper.Transaction{Conditions: []keeper.Condition{{Key: key}}, Puts: []keeper.Put{{Key: key, Value: []byte("x")}}}
}

// A write goes through the relay if the direct service refused it, and never if it
// may have taken effect.
func TestWriteDirectOrThroughRelay(t *testing.T) {
	outage := emulator.FaultSwitches{Outage: true}

	for name, scenario := range map[string]struct {
		direct, relay emulator.FaultSwitches
		outcome       keeper.WriteOutcome
		fails         bool
		relayedCalls  int
	}{
		"both work":              {outcome: keeper.WriteApplied},
		"direct call refused":    {direct: outage, outcome: keeper.WriteApplied, relayedCalls: 1},
		"both refused":           {direct: outage, relay: outage, outcome: keeper.WriteRefused, fails: true, relayedCalls: 1},
		"direct answer lost":     {direct: emulator.FaultSwitches{DropAnswers: 1}, outcome: keeper.WriteUnknown, fails: true},
		"direct call unanswered": {direct: emulator.FaultSwitches{Freeze: true}, outcome: keeper.WriteUnknown, fails: true},
		"relay's answer lost":    {direct: outage, relay: emulator.FaultSwitches{DropAnswers: 1}, outcome: keeper.WriteUnknown, fails: true, relayedCalls: 1},
		"relay unanswered":       {direct: outage, relay: emulator.FaultSwitches{Freeze: true}, outcome: keeper.WriteUnknown, fails: true, relayedCalls: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client, direct, relay := newRelayedClient()
				direct.Faults.Set(scenario.direct)
				relay.Faults.Set(scenario.relay)

				before := direct.CallCount("Transact")
				result, err := client.Transact(t.Context(), newWrite("key"))
				require.Equal(t, scenario.outcome, result.Applied)
				require.Equal(t, scenario.fails, err != nil)
				// CallCount counts the calls of both views.
				require.Equal(t, 1+scenario.relayedCalls, direct.CallCount("Transact")-before)
			})
		})
	}
}

// While direct calls go unanswered, writes go through the relay at once and never
// probe the direct path, even if a probe is due.
func TestWritesDoNotProbeDirectPath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, direct, _ := newRelayedClient()
		direct.Faults.Set(emulator.FaultSwitches{Freeze: true})

		for range keeper.DefaultSettings().Failures {
			_, err := client.Get(t.Context(), "key")
			require.NoError(t, err, "the relay answers")
		}

		for number := range 20 {
			// After each pause a probe is due.
			time.Sleep(2 * keeper.DefaultSettings().LastProbe)

			started := time.Now()
			result, err := client.Transact(t.Context(), newWrite(fmt.Sprint(number)))
			require.NoError(t, err)
			require.Equal(t, keeper.WriteApplied, result.Applied)
			require.Zero(t, time.Since(started))
		}

		direct.Faults.Set(emulator.FaultSwitches{})
	})
}

// During an outage most calls do not reach the service, and calls succeed again
// soon after it.
func TestBreakerLimitsCallsAndRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, direct, relay := newRelayedClient()
		direct.Faults.Set(emulator.FaultSwitches{Outage: true})
		relay.Faults.Set(emulator.FaultSwitches{Outage: true})

		for range 100 {
			_, err := client.Get(t.Context(), "key")
			require.Error(t, err)
		}

		require.LessOrEqual(t, direct.CallCount("Get"), 2*keeper.DefaultSettings().Failures)
		require.True(t, client.FailedWithin(time.Second))

		direct.Faults.Set(emulator.FaultSwitches{})

		deadline := time.Now().Add(10 * time.Second)

		for {
			_, err := client.Get(t.Context(), "key")
			if err == nil {
				break
			}

			require.True(t, time.Now().Before(deadline))
			time.Sleep(100 * time.Millisecond)
		}

		time.Sleep(time.Minute)
		require.False(t, client.FailedWithin(time.Second))
	})
}

// While the service fails, a single call at a time probes it. A watch that did so told its result
// only once it ended, and all other calls went without the service until then.
func TestWatchThatProbesKeepsCallsWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		catalog := emulator.NewCatalog()
		settings := keeper.DefaultSettings()
		client := keeper.NewCatalogClient(kernel.NewDiscardCommon("entry"), catalog, settings)

		catalog.Faults.Set(emulator.FaultSwitches{Outage: true})

		for range settings.Failures {
			_, err := client.Get(t.Context(), "a")
			require.Error(t, err)
		}

		catalog.Faults.Set(emulator.FaultSwitches{})
		time.Sleep(2 * settings.FirstProbe)

		watched := make(chan error, 1)

		go func() {
			_, err := client.Watch(t.Context(), "a/", 1, 20*time.Second)
			watched <- err
		}()

		time.Sleep(200 * time.Millisecond)

		_, err := client.Get(t.Context(), "a")
		require.NoError(t, err)
		require.NoError(t, <-watched)
	})
}
