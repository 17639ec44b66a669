package batcher_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/bookkeeper"
	"limpetrail/emulator"
)

// setPadding sets the text after each event, whose JSON is six times as long.
func (fleet *fleet) setPadding(size int) {
	fleet.setServerFaults(emulator.EventFaults{Padding: strings.Repeat("<", size)})
}

// requireListed checks that all items of the job are completed, with the whole output.
func (fleet *fleet) requireListed(items, padding int) {
	fleet.t.Helper()

	results, _ := fleet.readAll(len(fleet.gateways) - 1)
	require.Len(fleet.t, results, items)

	for _, result := range results {
		require.Equal(fleet.t, bookkeeper.Completed, result.State)
		require.Equal(fleet.t, eventsPerItem*padding, strings.Count(result.Output, "<"))
	}
}

// Results that gathered while the key-value service was unavailable became a value that is too
// long as JSON. It was proposed for ever, and no result of the gateway was listed any more.
func TestResultsOfAnOutageAreListed(t *testing.T) {
	const items = 12

	for name, padding := range map[string]int{"many results": 150, "results longer than a value": 800} {
		t.Run(name, func(t *testing.T) {
			newFleet(t, 2, 4, func(fleet *fleet) {
				fleet.setPadding(padding)
				require.Equal(t, bookkeeper.OK, fleet.submit(0, items))
				time.Sleep(50 * time.Millisecond)
				fleet.setCatalogFaults(emulator.FaultSwitches{Outage: true})
				time.Sleep(outageDuration)
				fleet.setCatalogFaults(emulator.FaultSwitches{})
				time.Sleep(10 * time.Second)
				fleet.requireListed(items, padding)
			})
		})
	}
}

// A result that is longer than a value is listed although its owner is lost while it commits the
// fragments.
func TestFragmentsOfALostOwnerDoNotCount(t *testing.T) {
	const padding = 2500

	for _, delay := range []time.Duration{600 * time.Millisecond, 700 * time.Millisecond, 800 * time.Millisecond, time.Second} {
		newFleet(t, 3, 4, func(fleet *fleet) {
			fleet.setPadding(padding)
			require.Equal(t, bookkeeper.OK, fleet.submit(0, 3))
			time.Sleep(delay)
			fleet.gateways[0].catalog.Faults.Set(emulator.FaultSwitches{DropAnswers: 1})
			time.Sleep(50 * time.Millisecond)
			fleet.kill(0)

			fleet.gateways = fleet.gateways[1:]
			time.Sleep(completionTimeout)
			fleet.requireListed(3, padding)
		})
	}
}

// Results whose commit took effect without an answer, and was rejected when it was tried again, were committed
// once more behind themselves.
func TestARejectedRetryCommitsNoResultTwice(t *testing.T) {
	const items = 20

	newFleet(t, 1, 1, func(fleet *fleet) {
		require.Equal(t, bookkeeper.OK, fleet.submit(0, items))
		fleet.setCatalogFaults(emulator.FaultSwitches{DropAnswers: 1000})

		for {
			page, err := fleet.catalog.NewClient().Range(fleet.t.Context(), bookkeeper.ResultsPrefix(jobID), "", false)
			require.NoError(t, err)

			if len(page.Items) > 0 {
				break
			}

			time.Sleep(time.Millisecond)
		}

		fleet.setCatalogFaults(emulator.FaultSwitches{})
		fleet.catalog.SetValueBytes(100)
		time.Sleep(time.Second)
		fleet.catalog.SetValueBytes(valueBytes)
		time.Sleep(completionTimeout)
		fleet.requireListed(items, 0)
	})
}

// One value that the key-value service rejects kept the results of all other jobs of the gateway
// out, and opened the circuit breaker to a sound service.
func TestARejectedValueKeepsNoOtherJobOut(t *testing.T) {
	const padding = 150

	for name, scenario := range map[string]struct {
		valueBytes int
		listed     bool
	}{
		"shorter values are accepted": {10_000, true},
		"no value is accepted":        {3_000, false},
	} {
		t.Run(name, func(t *testing.T) {
			newFleet(t, 1, 4, func(fleet *fleet) {
				fleet.setPadding(padding)
				require.Equal(t, bookkeeper.OK, fleet.submit(0, 3))
				time.Sleep(300 * time.Millisecond)
				fleet.setPadding(0)
				require.Equal(t, bookkeeper.OK, fleet.submitJob(0, "short", 3))
				fleet.catalog.SetValueBytes(scenario.valueBytes)
				time.Sleep(8 * time.Second)

				page, outcome := fleet.gateways[0].batcher.ReadResults(t.Context(), "short", 0, 0)
				require.Equal(t, bookkeeper.OK, outcome)
				require.Len(t, page.Results, 3, "the other job")
				require.False(t, fleet.gateways[0].client.FailedWithin(time.Hour))

				results, _ := fleet.readAll(0)
				require.Equal(t, scenario.listed, len(results) == 3, "%d results", len(results))

				// Nothing is lost meanwhile.
				fleet.catalog.SetValueBytes(valueBytes)
				time.Sleep(8 * time.Second)

				results, _ = fleet.readAll(0)
				require.Len(t, results, 3)
			})
		})
	}
}
