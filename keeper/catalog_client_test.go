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

// twoWays is a client with a direct way to a catalog and a relay.
func twoWays() (client *keeper.CatalogClient, direct, relay *emulator.Catalog) {
	direct = emulator.NewCatalog()
	relay = direct.View()
	settings := keeper.DefaultSettings()
	settings.CallTimeout = time.Second

	return keeper.NewCatalogClient(kernel.Discard("entry"), direct, settings, keeper.WithRelay(relay)), direct, relay
}

func write(key string) keeper.Transaction {
	return keeper.Transaction{Conditions: []keeper.Condition{{Key: key}}, Puts: []keeper.Put{{Key: key, Value: []byte("x")}}}
}

// Each scenario has faults on the two ways, and says what becomes of a write
// and how often the relay was asked.
func TestWriteOnTwoWays(t *testing.T) {
	outage := emulator.Switches{Outage: true}

	for name, scenario := range map[string]struct {
		direct, relay emulator.Switches
		applied       keeper.Applied
		failed        bool
		relayed       int
	}{
		"both work":                     {applied: keeper.WriteApplied},
		"the direct way turns it away":  {direct: outage, applied: keeper.WriteApplied, relayed: 1},
		"both turn it away":             {direct: outage, relay: outage, applied: keeper.WriteRefused, failed: true, relayed: 1},
		"the direct answer is lost":     {direct: emulator.Switches{DropAnswers: 1}, applied: keeper.WriteUnknown, failed: true},
		"the direct way is silent":      {direct: emulator.Switches{Freeze: true}, applied: keeper.WriteUnknown, failed: true},
		"the relay's answer is lost":    {direct: outage, relay: emulator.Switches{DropAnswers: 1}, applied: keeper.WriteUnknown, failed: true, relayed: 1},
		"the relay is silent meanwhile": {direct: outage, relay: emulator.Switches{Freeze: true}, applied: keeper.WriteUnknown, failed: true, relayed: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client, direct, relay := twoWays()
				direct.Faults.Set(scenario.direct)
				relay.Faults.Set(scenario.relay)

				before := direct.Calls("Transact")
				committed, err := client.Transact(t.Context(), write("key"))
				require.Equal(t, scenario.applied, committed.Applied)
				require.Equal(t, scenario.failed, err != nil)
				// Both views count together.
				require.Equal(t, 1+scenario.relayed, direct.Calls("Transact")-before)
			})
		})
	}
}

// While the direct way is silent, a write goes through the relay at once and is
// no trial of the direct way.
func TestWritesAreNoTrials(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, direct, _ := twoWays()
		direct.Faults.Set(emulator.Switches{Freeze: true})

		for range keeper.DefaultSettings().Failures {
			_, err := client.Get(t.Context(), "key")
			require.NoError(t, err, "the relay answers")
		}

		for number := range 20 {
			// Each pause makes a trial due.
			time.Sleep(2 * keeper.DefaultSettings().LastProbe)

			begun := time.Now()
			committed, err := client.Transact(t.Context(), write(fmt.Sprint(number)))
			require.NoError(t, err)
			require.Equal(t, keeper.WriteApplied, committed.Applied)
			require.Zero(t, time.Since(begun))
		}

		direct.Faults.Set(emulator.Switches{})
	})
}

// A service that stays away is not asked by every call, and is found again.
func TestBreakerOfADirectWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, direct, relay := twoWays()
		direct.Faults.Set(emulator.Switches{Outage: true})
		relay.Faults.Set(emulator.Switches{Outage: true})

		for range 100 {
			_, err := client.Get(t.Context(), "key")
			require.Error(t, err)
		}

		require.LessOrEqual(t, direct.Calls("Get"), 2*keeper.DefaultSettings().Failures)
		require.True(t, client.FailedWithin(time.Second))

		direct.Faults.Set(emulator.Switches{})

		until := time.Now().Add(10 * time.Second)

		for {
			_, err := client.Get(t.Context(), "key")
			if err == nil {
				break
			}

			require.True(t, time.Now().Before(until))
			time.Sleep(100 * time.Millisecond)
		}

		time.Sleep(time.Minute)
		require.False(t, client.FailedWithin(time.Second))
	})
}
