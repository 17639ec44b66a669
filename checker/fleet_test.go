package checker_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"limpetrail/checker"
	"limpetrail/emulator"
	"limpetrail/router"
)

// settled is past every timer that the fleet sets.
const settled = 10 * time.Minute

// fleet is entries and sidecars in one bubble, with a history of what callers
// and backend servers saw.
type fleet struct {
	context  context.Context //nolint:containedctx // It ends the fleet with its test.
	history  *checker.History
	store    *emulator.Store
	replicas []router.Replica
	sidecars map[string]*sidecar
	running  sync.WaitGroup

	mutex   sync.Mutex
	entries map[string]*entry
}

// newFleet starts the named entries, and a sidecar for each replica.
func newFleet(t *testing.T, entries []string, replicas map[string]string) *fleet {
	t.Helper()

	ctx, cancel := context.WithCancel(context.Background())
	fleet := &fleet{
		context:  ctx,
		history:  checker.NewHistory(),
		store:    emulator.NewStore(),
		sidecars: map[string]*sidecar{},
		entries:  map[string]*entry{},
	}

	for name, service := range replicas {
		fleet.replicas = append(fleet.replicas, router.Replica{Name: name, Address: name, Service: service})
		fleet.sidecars[name] = newSidecar(fleet, name)
	}

	for _, name := range entries {
		fleet.entries[name] = newEntry(fleet, name)
	}

	t.Cleanup(func() {
		fleet.heal()

		for name := range fleet.entries {
			fleet.entries[name].kill()
		}

		cancel()

		for _, sidecar := range fleet.sidecars {
			sidecar.network.Close()
		}

		fleet.running.Wait()
		// Time stands still after a bubble's test, so its timers run out first.
		time.Sleep(settled)
	})

	return fleet
}

// entry returns the present process of that name.
func (fleet *fleet) entry(name string) *entry {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()

	return fleet.entries[name]
}

// replaceEntry kills an entry and starts another under its name.
func (fleet *fleet) replaceEntry(name string) {
	fleet.entry(name).kill()
	fleet.history.Add(checker.Event{Kind: checker.KindKilled, Process: name})

	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()

	fleet.entries[name] = newEntry(fleet, name)
}

// heal ends every fault.
func (fleet *fleet) heal() {
	fleet.store.Faults.Set(emulator.FaultSwitches{})

	for _, sidecar := range fleet.sidecars {
		sidecar.lag.Store(0)
		sidecar.engine.Faults.Set(emulator.FaultSwitches{})
		sidecar.service.Faults.Set(emulator.FaultSwitches{})
	}
}
