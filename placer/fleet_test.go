package placer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/kernel"
	"limpetrail/placer"
)

// fleetSize describes a fleet of many entries, which report to each other seldom.
type fleetSize struct {
	entries, servers, dataCentres int
	// interval is the time between two reports of an entry.
	interval time.Duration
	// ratePerServer is the mean rate of online requests a second.
	ratePerServer float64
	// runTime is the length of an online run; 0 for fleetRunDuration.
	runTime time.Duration
	// unlistedShare is the share of the servers that is missing from the list.
	unlistedShare float64
}

// largeFleet has 36 entries and 160 servers, about the report interval that the gossiper uses
// with so many peers, and a mean load that fills about half of the places.
func largeFleet() fleetSize {
	return fleetSize{entries: 36, servers: 160, dataCentres: 5, interval: 95 * time.Millisecond, ratePerServer: 4.5}
}

const (
	// fleetRunDuration is the length of an online run at the engines of a large fleet.
	fleetRunDuration = 850 * time.Millisecond
	// engineQueue is how many requests an engine queues before it rejects further ones.
	engineQueue = 4
	// prefixes is the number of different prompt prefixes.
	prefixes = 60
	// maxTries is the maximum number of servers tried for a request.
	maxTries = 4
)

// fleet simulates entries and engines under load.
type fleet struct {
	fleetSize
	placers []*placer.Placer
	// weights are the relative shares of callers at each entry.
	weights []float64

	mutex   sync.Mutex
	running []int
	// sends counts the online requests sent to engines; queued those that found no free
	// place, rejected those that found the engine's queue full.
	sends, queued, rejected int
	answered, refused       int
	maxRunning              int
}

func newFleet(size fleetSize, random *rand.Rand) *fleet {
	if size.runTime == 0 {
		size.runTime = fleetRunDuration
	}

	fleet := &fleet{fleetSize: size, running: make([]int, size.servers)}
	listed, dataCentreByName := []placer.Server{}, map[string]string{}

	for index := range int(float64(size.servers) * (1 - size.unlistedShare)) {
		listed = append(listed, placer.Server{ID: fmt.Sprint(index), Service: modelService, Places: places, DataCentre: fmt.Sprint(index % size.dataCentres)})
	}

	for entry := range size.entries {
		dataCentreByName[entryName(entry)] = fmt.Sprint(entry % size.dataCentres)
	}

	for entry := range size.entries {
		common := kernel.NewDiscardCommon(entryName(entry))
		common.DataCentre = dataCentreByName[entryName(entry)]
		entryPlacer := placer.NewPlacer(common)
		entryPlacer.UpdateServers(listed)

		others := map[string]string{}

		for name, dataCentre := range dataCentreByName {
			if name != entryName(entry) {
				others[name] = dataCentre
			}
		}

		entryPlacer.SetListedPeers(others)

		fleet.placers = append(fleet.placers, entryPlacer)
		fleet.weights = append(fleet.weights, 0.5+random.Float64())
	}

	return fleet
}

func entryName(entry int) string {
	return fmt.Sprintf("entry-%d", entry)
}

// exchangeReports has an entry report to all others. Entries start at different moments.
func (fleet *fleet) exchangeReports(ctx context.Context, from int) {
	time.Sleep(time.Duration(from) * fleet.interval / time.Duration(fleet.entries))

	for ctx.Err() == nil {
		loads := fleet.placers[from].OwnLoads()

		for to, receiver := range fleet.placers {
			if to != from {
				receiver.ApplyReport(entryName(from), fmt.Sprint(from%fleet.dataCentres), loads)
			}
		}

		time.Sleep(fleet.interval)
	}
}

// drawEntry picks a random entry by weight.
func (fleet *fleet) drawEntry(random *rand.Rand) int {
	sum := 0.0
	for _, weight := range fleet.weights {
		sum += weight
	}

	position := random.Float64() * sum

	for entry, weight := range fleet.weights {
		if position -= weight; position < 0 {
			return entry
		}
	}

	return 0
}

// sendRequest is one request at an entry. Servers that reject it aren't tried again.
func (fleet *fleet) sendRequest(ctx context.Context, entry int, prefix uint64) {
	tried := []string{}

	for len(tried) < maxTries {
		decision := fleet.placers[entry].Place(ctx, placer.Work{Service: modelService, MaxWait: firstEventTarget * 7 / 10, Prefix: prefix, Exclude: tried})
		if decision.Verdict != placer.Placed {
			break
		}

		id := decision.Grant.Server.ID
		if fleet.run(id) {
			decision.Grant.Release()

			return
		}

		decision.Grant.Observe(placer.Full, 0)
		decision.Grant.Release()

		tried = append(tried, id)
	}

	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()

	fleet.refused++
}

// run runs a request on an engine, waiting in its queue if needed. It returns false if the
// queue is full.
func (fleet *fleet) run(id string) bool {
	index := 0
	_, _ = fmt.Sscan(id, &index)

	fleet.mutex.Lock()
	fleet.sends++

	ahead := fleet.running[index] - places + 1
	if ahead > engineQueue {
		fleet.rejected++
		fleet.mutex.Unlock()

		return false
	}

	if ahead > 0 {
		fleet.queued++
	}

	fleet.running[index]++
	fleet.maxRunning = max(fleet.maxRunning, fleet.running[index])
	fleet.mutex.Unlock()

	time.Sleep(fleet.runTime + time.Duration(max(0, ahead))*fleet.runTime/places)

	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()

	fleet.running[index]--
	fleet.answered++

	return true
}

// simulateFleet sends the step load for six seconds, a whole period.
func simulateFleet(t *testing.T, size fleetSize, seed uint64) *fleet {
	t.Helper()

	const length = 6 * time.Second

	var result *fleet

	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(seed, 1))
		result = newFleet(size, random)
		ctx, cancel := context.WithCancel(t.Context())
		running := sync.WaitGroup{}

		for entry := range size.entries {
			running.Go(func() { result.exchangeReports(ctx, entry) })
		}

		time.Sleep(2 * size.interval)

		load, started := stepLoad(size.ratePerServer*float64(size.servers)), time.Now()
		for time.Since(started) < length {
			time.Sleep(time.Duration(random.ExpFloat64() / load(time.Since(started)) * float64(time.Second)))

			entry, prefix := result.drawEntry(random), 1+uint64(random.IntN(prefixes))
			running.Go(func() { result.sendRequest(ctx, entry, prefix) })
		}

		time.Sleep(time.Second)
		cancel()
		running.Wait()
		time.Sleep(time.Minute)
	})

	return result
}

// Steps of callers arrive at many entries that report to each other seldom. The entries don't
// all send to one server while others have free places.
func TestSendsOfManyEntriesDoNotCollide(t *testing.T) {
	// maxRejected is the maximum share of sends that engines may reject, the stated target.
	const maxRejected = 0.01

	for name, scenario := range map[string]struct {
		size fleetSize
		seed uint64
	}{
		"all servers":                 {largeFleet(), 1},
		"all servers, another draw":   {largeFleet(), 2},
		"a third of the servers gone": {fleetSize{entries: 36, servers: 160, dataCentres: 5, interval: 95 * time.Millisecond, ratePerServer: 3, unlistedShare: 0.33}, 3},
		"few entries":                 {fleetSize{entries: 4, servers: 12, dataCentres: 3, interval: reportInterval, ratePerServer: 4, unlistedShare: 0}, 4},
	} {
		t.Run(name, func(t *testing.T) {
			result := simulateFleet(t, scenario.size, scenario.seed)
			t.Logf("sends %d queued %d rejected %d refused %d answered %d max running %d", result.sends, result.queued, result.rejected, result.refused, result.answered, result.maxRunning)
			require.LessOrEqual(t, float64(result.rejected), maxRejected*float64(result.sends))
		})
	}
}
