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

// settleTime is longer than every timer that the fleet sets.
const settleTime = 10 * time.Minute

// fleet consists of entries and sidecars in one synctest bubble, with a history
// of what callers and backend servers observed.
type fleet struct {
	context  context.Context //nolint:containedctx // Its cancellation stops the fleet at the end of the test.
	history  *checker.History
	store    *emulator.Store
	replicas []router.Replica
	sidecars map[string]*sidecar
	running  sync.WaitGroup

	mutex   sync.Mutex
	entries map[string]*entry
}

// newFleet starts the named entries and a sidecar for each replica. The map
// replicas has the service of each replica's name.
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
		fleet.clearFaults()

		for name := range fleet.entries {
			fleet.entries[name].kill()
		}

		cancel()

		for _, sidecar := range fleet.sidecars {
			sidecar.network.Close()
		}

		fleet.running.Wait()
		// A bubble's clock stops with its test, so remaining timers must expire
		// before.
		time.Sleep(settleTime)
	})

	return fleet
}

// entry returns the running process of that name.
func (fleet *fleet) entry(name string) *entry {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()

	return fleet.entries[name]
}

// restartEntry kills an entry and starts a new one under the same name.
func (fleet *fleet) restartEntry(name string) {
	fleet.entry(name).kill()
	fleet.history.Add(checker.Event{Kind: checker.KindKilled, Process: name})

	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()

	fleet.entries[name] = newEntry(fleet, name)
}

// clearFaults ends all faults.
func (fleet *fleet) clearFaults() {
	fleet.store.Faults.Set(emulator.FaultSwitches{})

	for _, sidecar := range fleet.sidecars {
		sidecar.delay.Store(0)
		sidecar.engine.Faults.Set(emulator.FaultSwitches{})
		sidecar.service.Faults.Set(emulator.FaultSwitches{})
	}
}
