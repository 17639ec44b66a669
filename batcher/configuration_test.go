package batcher_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/bookkeeper"
	"limpetrail/kernel"
	"limpetrail/matcher"
)

// acceptedVersion is the version of the configuration by which the jobs of these tests are
// accepted.
const acceptedVersion = 7

// setLaggingConfiguration gives the gateways that start from now on a configuration of their own,
// which the returned function renews: of an older version without the batch route, or none.
func (fleet *fleet) setLaggingConfiguration(version int64) func(version int64, withRoute bool) {
	fleet.configure(acceptedVersion, true)
	fleet.configuration = matcher.NewCurrentDocument(kernel.NewDiscardCommon("lagging"))

	if version > 0 {
		fleet.configure(version, false)
	}

	return fleet.configure
}

// A gateway that takes over a job gave all its items up for good because it had no configuration
// yet, or an older one without the job's route.
func TestJobsAreNotGivenUpByAnOlderConfiguration(t *testing.T) {
	const items = 6

	for name, version := range map[string]int64{"none": 0, "older": 3} {
		for way, passOn := range map[string]func(fleet *fleet){
			"handover": func(fleet *fleet) { fleet.gateways[0].stop() },
			"takeover": func(fleet *fleet) { fleet.kill(0) },
		} {
			t.Run(name+", "+way, func(t *testing.T) {
				newFleet(t, 1, 4, func(fleet *fleet) {
					renew := fleet.setLaggingConfiguration(version)
					fleet.gateways = append(fleet.gateways, fleet.startGateway("lagging"))

					time.Sleep(time.Second)
					require.Equal(t, bookkeeper.OK, fleet.submitJob(0, jobID, items, acceptedBy(acceptedVersion)))
					passOn(fleet)

					fleet.gateways = fleet.gateways[1:]
					time.Sleep(outageDuration)
					renew(acceptedVersion, true)
					fleet.requireComplete(items)
				})
			})
		}
	}
}

// A job whose route was removed is given up as soon as the gateway has a configuration that may
// judge it, and at its give-up time without one.
func TestJobsOfRemovedRoutesAreGivenUp(t *testing.T) {
	for name, scenario := range map[string]struct {
		version  int64
		readable time.Duration
	}{
		"route removed":                {acceptedVersion + 1, 10 * time.Second},
		"configuration is never known": {0, 75 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			newFleet(t, 1, 4, func(fleet *fleet) {
				renew := fleet.setLaggingConfiguration(0)
				fleet.gateways = append(fleet.gateways, fleet.startGateway("lagging"))

				time.Sleep(time.Second)
				require.Equal(t, bookkeeper.OK, fleet.submitJob(0, jobID, 3, acceptedBy(acceptedVersion)))
				fleet.gateways[0].stop()

				fleet.gateways = fleet.gateways[1:]

				if scenario.version > 0 {
					renew(scenario.version, false)
				}

				time.Sleep(scenario.readable)

				results, _ := fleet.readAll(0)
				require.Len(t, results, 3)

				for _, result := range results {
					require.Equal(t, bookkeeper.GivenUp, result.State)
				}
			})
		})
	}
}
