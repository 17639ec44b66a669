package dispatcher_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/classifier"
	"limpetrail/dialer"
	"limpetrail/dispatcher"
	"limpetrail/emulator"
	"limpetrail/kernel"
	"limpetrail/router"
)

// prompt returns the body of a call. Calls share the text before their number.
func prompt(shared string, number int) []byte {
	return fmt.Appendf(nil, "%s%d", strings.Repeat(shared, 1100/len(shared)+1)[:1100], number)
}

// newRestartingFleet returns a fleet of six engines that are back a second after they end.
func newRestartingFleet(t *testing.T) *fleet {
	t.Helper()

	fleet := newFleet(t, nil)
	for number := range 6 {
		fleet.addReplica(fmt.Sprintf("model-%d", number), modelService)
	}

	for _, engine := range fleet.engines {
		engine.RestartTime = time.Second
	}

	return fleet
}

// Calls whose prompts begin alike end one engine after the other, at the sidecar that
// repeats them and at the replicas that they are moved to. After a few engines such calls
// are refused at once, and others are served.
func TestPromptsThatEndEnginesAreKeptAway(t *testing.T) {
	for name, idempotent := range map[string]bool{"idempotent calls": true, "calls that run once": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newRestartingFleet(t)

				starts, last := 0, classifier.Outcome{}

				for number := range 10 {
					call := fleet.newCall(modelService, idempotent)
					call.Body = prompt(emulator.TextFatal, number)
					call.PrefixKeys = router.PrefixKeys(call.Body)
					last = fleet.dispatcher.Do(context.Background(), call, &sink{})
					starts += fleet.countStarts(call)

					time.Sleep(time.Second)
				}

				require.LessOrEqual(t, starts, 3)
				require.Equal(t, classifier.NotRun, last.Fate)
				require.Greater(t, last.RetryAfter, time.Second)

				sound := fleet.newCall(modelService, idempotent)
				sound.Body = prompt("sound", 0)
				sound.PrefixKeys = router.PrefixKeys(sound.Body)
				require.Equal(t, classifier.Answered, fleet.dispatcher.Do(context.Background(), sound, &sink{}).Fate)
			})
		})
	}
}

// A call without a prompt that ends the server under it is not moved from one replica to
// the next until none is left.
func TestCallThatEndsServersIsMovedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, func(settings *dispatcher.Settings) { settings.Attempts = 5 })
		for number := range 6 {
			fleet.addReplica(fmt.Sprintf("model-%d", number), modelService)
		}

		call := fleet.newCall(modelService, true)
		call.Body = []byte(emulator.TextFatal)
		outcome := fleet.dispatcher.Do(context.Background(), call, &sink{})
		require.Equal(t, classifier.MayHaveRun, outcome.Fate)
		require.LessOrEqual(t, fleet.countStarts(call), 2)
	})
}

// Another entry before the same sidecars learns with its first answer, and a sidecar passes
// on what it was told.
func TestEntriesLearnOfDeadlyPromptsBySidecars(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, nil)
		fleet.addReplica("model-0", modelService)
		fleet.addReplica("model-1", modelService)

		common := kernel.NewDiscardCommon("entry-2")
		routes := router.NewRouter(common, router.WithSeed(2))
		routes.Update(fleet.replicas)

		other := dispatcher.NewDispatcher(common, routes, dialer.NewDialer(dialer.WithDialContext(fleet.network.DialContext)))
		defer other.Dialer.Close()

		deadly := func() dispatcher.Call {
			call := fleet.newCall(modelService, true)
			call.Body = prompt(emulator.TextFatal, 1)
			call.PrefixKeys = router.PrefixKeys(call.Body)

			return call
		}

		require.Equal(t, classifier.MayHaveRun, fleet.dispatcher.Do(context.Background(), deadly(), &sink{}).Fate)
		time.Sleep(2 * time.Second)

		// Requests carry the findings to the sidecars, and answers carry them on.
		for range 8 {
			require.Equal(t, classifier.Answered, fleet.dispatcher.Do(context.Background(), fleet.newCall(modelService, true), &sink{}).Fate)
			require.Equal(t, classifier.Answered, other.Do(context.Background(), fleet.newCall(modelService, true), &sink{}).Fate)
			time.Sleep(500 * time.Millisecond)
		}

		call := deadly()
		require.Equal(t, classifier.NotRun, other.Do(context.Background(), call, &sink{}).Fate)
		require.Zero(t, fleet.countStarts(call))
	})
}

// One call without a prompt ends an engine each time that its caller sends it again. After a few
// it is refused as not run; the workspace's other calls, and the same body from another firm, are
// not.
func TestCallEndsEngineAfterEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newRestartingFleet(t)

		starts, last := 0, classifier.Outcome{}

		for range 20 {
			call := fleet.newCall(modelService, true)
			call.Body = []byte(emulator.TextFatal)
			last = fleet.dispatcher.Do(context.Background(), call, &sink{})
			starts += fleet.countStarts(call)

			time.Sleep(time.Second)
		}

		require.LessOrEqual(t, starts, 4)
		require.Equal(t, classifier.NotRun, last.Fate)
		require.Greater(t, last.RetryAfter, time.Second)
		require.Equal(t, classifier.Answered, fleet.dispatcher.Do(context.Background(), fleet.newCall(modelService, true), &sink{}).Fate)

		other := fleet.newCall(modelService, true)
		other.Firm, other.Body = "another firm", []byte(emulator.TextFatal)
		require.Equal(t, classifier.MayHaveRun, fleet.dispatcher.Do(context.Background(), other, &sink{}).Fate)
	})
}
