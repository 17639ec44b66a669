package batcher_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/bookkeeper"
	"limpetrail/emulator"
	"limpetrail/placer"
)

// setSoftware gives the servers software versions, one each, at all gateways. Servers with an empty
// version are not listed.
func (fleet *fleet) setSoftware(versions ...string) {
	list := []placer.Server{}

	for index, version := range versions {
		server := fleet.servers[index]
		server.SetStart(version, 0)

		if version != "" {
			list = append(list, placer.Server{ID: server.ID, Software: version, Address: server.ID, Service: serviceName, Places: server.Places})
		}
	}

	for _, gateway := range fleet.gateways {
		gateway.placer.UpdateServers(list)
	}
}

// requireOneVersion waits until the job is done and checks that each output is whole and of one
// version.
func (fleet *fleet) requireOneVersion(items int) {
	fleet.t.Helper()

	results := []bookkeeper.Result{}

	require.Eventually(fleet.t, func() bool {
		results, _ = fleet.readAll(len(fleet.gateways) - 1)

		return len(results) == items
	}, completionTimeout, 100*time.Millisecond)

	for _, result := range results {
		require.Equal(fleet.t, bookkeeper.Completed, result.State)

		_, version, _ := strings.Cut(result.Output, "@")
		version, _, _ = strings.Cut(version, "\n")
		lines := []string{}

		for number := range eventsPerItem {
			lines = append(lines, emulator.SoftwareText(number, version))
		}

		require.Equal(fleet.t, strings.Join(lines, "\n"), result.Output)
	}
}

// The output of an item is of one software version, whatever ended an attempt.
func TestItemJoinsTwoVersions(t *testing.T) {
	const items = 6

	for name, disturb := range map[string]func(fleet *fleet){
		"attempts break off": func(fleet *fleet) { time.Sleep(3 * time.Second) },
		"the owner is killed": func(fleet *fleet) {
			time.Sleep(3 * time.Second)
			fleet.kill(0)
			fleet.gateways = fleet.gateways[1:]
		},
		"the owner stops": func(fleet *fleet) {
			time.Sleep(2 * time.Second)
			fleet.gateways[0].stop()
			fleet.gateways = fleet.gateways[1:]
		},
		"the version leaves": func(fleet *fleet) {
			time.Sleep(time.Second)
			fleet.setSoftware("", "v2", "", "v2")
		},
		"it leaves and the owner is killed": func(fleet *fleet) {
			time.Sleep(3 * time.Second)
			fleet.kill(0)
			fleet.gateways = fleet.gateways[1:]
			fleet.setSoftware("", "v2", "", "v2")
		},
	} {
		t.Run(name, func(t *testing.T) {
			newFleet(t, 2, 4, func(fleet *fleet) {
				for index, server := range fleet.servers {
					server.EventInterval = 100 * time.Millisecond
					server.SetStart(fmt.Sprint("v", index%2+1), 0)
				}

				fleet.setSoftware("v1", "v2", "v1", "v2")
				fleet.setServerFaults(emulator.EventFaults{BreakAfter: 7})
				require.Equal(t, bookkeeper.OK, fleet.submit(0, items))
				disturb(fleet)
				time.Sleep(time.Second)
				fleet.setServerFaults(emulator.EventFaults{})
				fleet.requireOneVersion(items)
			})
		})
	}
}

// A server that had started again under its ID, with other software, took items before the list
// showed it and crashed. The items went on at servers of the version in the list.
func TestItemOfARestartedServerJoinsTwoVersions(t *testing.T) {
	const (
		items                 = 6
		listedStart, ownStart = 1000, 2000
	)

	newFleet(t, 2, 4, func(fleet *fleet) {
		list := []placer.Server{}

		for _, server := range fleet.servers {
			server.EventInterval = 100 * time.Millisecond
			server.SetStart("v1", listedStart)
			list = append(list, placer.Server{ID: server.ID, Incarnation: listedStart, Software: "v1", Address: server.ID, Service: serviceName, Places: server.Places})
		}

		for _, gateway := range fleet.gateways {
			gateway.placer.UpdateServers(list)
		}

		fleet.servers[0].SetStart("v2", ownStart)
		fleet.servers[1].SetStart("v3", ownStart)
		require.Equal(t, bookkeeper.OK, fleet.submit(0, items))
		time.Sleep(500 * time.Millisecond)
		fleet.servers[0].Crash()
		fleet.servers[1].Crash()
		fleet.servers[0].SetStart("v1", listedStart)
		fleet.servers[1].SetStart("v1", listedStart)
		fleet.requireOneVersion(items)
	})
}
