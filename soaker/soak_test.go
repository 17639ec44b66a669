package soaker_test

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/deployer"
	"limpetrail/soaker"
)

// seedsVariable is the environment variable with other seeds to run, as FIRST-LAST.
const seedsVariable = "LIMPETRAIL_SOAK_SEEDS"

// The first seeds of each group; lower ones keep their faults.
const (
	// firstDeadlySeed has a deadly prompt part, and firstDeadlyRequestSeed a deadly request.
	firstDeadlySeed        = 300
	firstDeadlyRequestSeed = 400
	// firstVersionSeed has several software versions.
	firstVersionSeed = 500
	// firstCompoundSeed has faults that need several disturbances.
	firstCompoundSeed = 600
	// firstEndlessSeed has answers of the store that do not end.
	firstEndlessSeed = 700
	// firstSilentSeed has sound servers that fall silent and go on.
	firstSilentSeed = 800
	// firstDiskLossSeed has holders that lose their disks when all else loses power.
	firstDiskLossSeed = 900
	// firstSlowSeed has callers who send or read slowly.
	firstSlowSeed = 1000
	// firstWorkspaceSeed has workspaces, beside the faults of all lower seeds but the silent ones.
	firstWorkspaceSeed = 1100
)

// faultDuration is how long each run injects faults.
const faultDuration = 12 * time.Second

// silentDuration is how long a run with silent servers lasts.
const silentDuration = 25 * time.Second

// failedSeeds has the cause of each seed that ever failed. The times of faults differ
// between runs of a seed, so each cause has a test of its own as well.
var failedSeeds = map[uint64]string{
	9:   "a custodian committed a job to the store between a reader's two queries: 404",
	901: "results whose commit took effect without an answer were rejected at the retry, and committed twice",
}

// seeds returns the seeds that CI runs: one with planned work only, one with the
// unplanned faults as well, one with the wide faults too, and each that ever failed.
func seeds(t *testing.T) []uint64 {
	t.Helper()

	seedRange := os.Getenv(seedsVariable)
	if seedRange == "" {
		return append([]uint64{4, 5, 201, 301, 304, 401, 404, 501, 503, 601, 603, 701, 800, 1001, 1101}, slices.Sorted(maps.Keys(failedSeeds))...)
	}

	firstText, lastText, _ := strings.Cut(seedRange, "-")
	first, err := strconv.ParseUint(firstText, 10, 64)
	require.NoError(t, err, seedsVariable)

	last, err := strconv.ParseUint(lastText, 10, 64)
	require.NoError(t, err, seedsVariable)

	selected := []uint64{}
	for seed := first; seed <= last; seed++ {
		selected = append(selected, seed)
	}

	return selected
}

// Faults of the processes, of their network links and of the platform must not lead to
// a violation that callers or backend servers can see.
func TestNoViolationsUnderInjectedFaults(t *testing.T) {
	play(t, func(seed uint64) bool { return seed < firstDeadlySeed })
}

// A prompt part that ends the backend servers which begin to answer it must be kept away
// from them after a few, whatever other faults there are.
func TestDeadlyPromptPartUnderInjectedFaults(t *testing.T) {
	play(t, func(seed uint64) bool { return seed >= firstDeadlySeed && seed < firstDeadlyRequestSeed })
}

// A request without a prompt that ends the backend servers which begin to run it must be kept
// away from them after a few, whatever other faults there are.
func TestDeadlyRequestUnderInjectedFaults(t *testing.T) {
	play(t, func(seed uint64) bool { return seed >= firstDeadlyRequestSeed && seed < firstVersionSeed })
}

// No stream or item may hold the text of two software versions, also if its caller takes it up at
// another gateway, whatever other faults there are.
func TestStreamsOfSeveralVersionsUnderInjectedFaults(t *testing.T) {
	play(t, func(seed uint64) bool { return seed >= firstVersionSeed && seed < firstCompoundSeed })
}

// Nothing accepted may be lost, given up or joined when a gateway hands jobs over to one with an
// older configuration, the store rejects values, or servers crash in a row and before they are
// listed.
func TestCompoundFaults(t *testing.T) {
	play(t, func(seed uint64) bool { return seed >= firstCompoundSeed && seed < firstEndlessSeed })
}

// No process may end, or need more memory than its machine has, when the store answers without end.
func TestEndlessAnswersOfTheStoreUnderInjectedFaults(t *testing.T) {
	play(t, func(seed uint64) bool { return seed >= firstEndlessSeed && seed < firstSilentSeed })
}

// No answer of a sound server that is silent for a second and goes on may be cut, refused after it ran
// or left out, beside changes of the configuration and with few free places.
func TestSilentServersBesideChanges(t *testing.T) {
	for _, seed := range seeds(t) {
		if seed < firstSilentSeed || seed >= firstDiskLossSeed {
			continue
		}

		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()

			play := soaker.NewSilentPlay(deployer.NewDeployment(t), seed)
			require.Empty(t, play.Run(t.Context(), silentDuration))
		})
	}
}

// No accepted job and no result that was read may be lost when a holder loses its disk at the moment at which
// all gateways, servers and other holders lose power.
func TestDiskLossBesideAPowerLoss(t *testing.T) {
	play(t, func(seed uint64) bool { return seed >= firstDiskLossSeed && seed < firstSlowSeed })
}

// No request of others may be lost, and no gateway may need more memory than the smallest have, while
// callers send or read slowly.
func TestSlowCallersBesideInjectedFaults(t *testing.T) {
	play(t, func(seed uint64) bool { return seed >= firstSlowSeed && seed < firstWorkspaceSeed })
}

// No request without a known key may run, no key may reach a backend server, and no other workspace may read a
// job, whatever faults there are.
func TestWorkspacesUnderInjectedFaults(t *testing.T) {
	play(t, func(seed uint64) bool { return seed >= firstWorkspaceSeed })
}

// play runs the selected seeds.
func play(t *testing.T, selected func(seed uint64) bool) {
	t.Helper()

	for _, seed := range seeds(t) {
		if !selected(seed) {
			continue
		}

		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()

			soak := soaker.NewSoak(deployer.NewDeployment(t), seed)
			require.Empty(t, soak.Run(t.Context(), faultDuration))
		})
	}
}
