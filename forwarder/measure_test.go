package forwarder_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/emulator"
	"limpetrail/forwarder"
	"limpetrail/gauger"
	"limpetrail/kernel"
	"limpetrail/matcher"
	"limpetrail/placer"
)

// The events of a complete stream are measured. Those of one that breaks off are not: a server
// that fails would look fast.
func TestOnlyCompleteStreamsAreMeasured(t *testing.T) {
	for name, scenario := range map[string]struct {
		faults  emulator.EventFaults
		outcome forwarder.Outcome
		events  int
	}{
		"complete":   {emulator.EventFaults{}, forwarder.Answered, 19},
		"broken off": {emulator.EventFaults{BreakAfter: 12}, forwarder.Broken, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				runWithFleet(t, kernel.NewDiscardCommon("entry-1"), 1, func(fleet *fleet) {
					synctest.Wait()
					fleet.setFaults(scenario.faults)

					result, _, _ := fleet.forward(context.Background(), route(matcher.Stream, false, 1))
					require.Equal(t, scenario.outcome.String(), result.Outcome.String())

					events := 0

					for _, measure := range fleet.placer.Measures() {
						for _, sample := range measure.Samples {
							require.Equal(t, 1, sample.Running)

							events += sample.Events
						}
					}

					require.Equal(t, scenario.events, events)
				}, placer.WithGauger(gauger.NewGauger()))
				time.Sleep(time.Minute)
			})
		})
	}
}
