package placer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/gauger"
	"limpetrail/kernel"
	"limpetrail/placer"
)

// Sizes of a large fleet, the same as in the scale sweep with 300 instances.
const (
	largeServers = 3000
	largeEntries = 52
	// loadsOfEntry is how many servers one entry's report names.
	loadsOfEntry = 100
)

// newLargeFleet returns the placer of one entry with fresh reports from all others of a large
// fleet, and a function that applies the next report of an entry.
func newLargeFleet(options ...placer.Option) (*placer.Placer, func(entry int)) {
	entryPlacer := placer.NewPlacer(kernel.NewDiscardCommon("entry-0"), options...)
	servers := []placer.Server{}

	for number := range largeServers {
		servers = append(servers, placer.Server{
			ID: fmt.Sprintf("server-%d", number), Service: fmt.Sprintf("service-%d", number%3), DataCentre: fmt.Sprintf("dc-%d", number%3), Places: 8,
		})
	}

	entryPlacer.UpdateServers(servers)

	applyReport := func(entry int) {
		loads := map[string]placer.Load{}
		for number := range loadsOfEntry {
			loads[fmt.Sprintf("server-%d", (entry*loadsOfEntry+number*7)%largeServers)] = placer.Load{Online: 1}
		}

		entryPlacer.ApplyReport(fmt.Sprintf("entry-%d", entry), fmt.Sprintf("dc-%d", entry%3), loads)
	}

	for entry := 1; entry < largeEntries; entry++ {
		applyReport(entry)
	}

	return entryPlacer, applyReport
}

// After any sequence of changes, the load of the others at a server equals the sum of the
// reports that are fresh.
func TestReportsAddUp(t *testing.T) {
	const (
		seeds   = 20
		steps   = 300
		servers = 6
		entries = 4
	)

	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, seed))
				entryPlacer := placer.NewPlacer(kernel.NewDiscardCommon("entry-0"))
				reports, reportedAt := map[int]map[string]placer.Load{}, map[int]time.Time{}

				for range steps {
					switch random.IntN(3) {
					case 0:
						entryPlacer.UpdateServers(drawServers(random, servers))
					case 1:
						entry := 1 + random.IntN(entries)
						reports[entry], reportedAt[entry] = drawLoads(random, servers), time.Now()
						entryPlacer.ApplyReport(fmt.Sprintf("entry-%d", entry), "", reports[entry])
					default:
						time.Sleep(time.Duration(random.Int64N(int64(time.Second))))
						// A placement drops expired reports even if no server is found.
						entryPlacer.Place(t.Context(), placer.Work{Service: "none"})
					}

					requireSums(t, entryPlacer, reports, reportedAt)
				}
			})
		})
	}
}

// drawServers returns a random selection of the servers, some with another incarnation.
func drawServers(random *rand.Rand, count int) []placer.Server {
	drawn := []placer.Server{}

	for number := range count {
		if random.IntN(4) > 0 {
			drawn = append(drawn, placer.Server{
				ID: fmt.Sprintf("server-%d", number), Service: "service", Places: 8, Incarnation: random.Int64N(2),
			})
		}
	}

	return drawn
}

func drawLoads(random *rand.Rand, servers int) map[string]placer.Load {
	loads := map[string]placer.Load{}

	for number := range servers {
		if random.IntN(2) > 0 {
			loads[fmt.Sprintf("server-%d", number)] = placer.Load{Online: random.IntN(3), Batch: random.IntN(3)}
		}
	}

	return loads
}

func requireSums(t *testing.T, entryPlacer *placer.Placer, reports map[int]map[string]placer.Load, reportedAt map[int]time.Time) {
	t.Helper()

	// A report counts for a second after it was received, until the next change.
	const lifetime = time.Second

	for _, status := range entryPlacer.Status() {
		sum := placer.Load{}

		for entry, loads := range reports {
			if time.Since(reportedAt[entry]) <= lifetime {
				sum.Online += loads[status.Server.ID].Online
				sum.Batch += loads[status.Server.ID].Batch
			}
		}

		require.Equal(t, sum, status.Others, status.ID)
	}
}

func BenchmarkApplyReportInALargeFleet(b *testing.B) {
	_, applyReport := newLargeFleet()

	for b.Loop() {
		applyReport(1 + b.N%(largeEntries-1))
	}
}

func BenchmarkPlaceInALargeFleet(b *testing.B) {
	entryPlacer, _ := newLargeFleet()

	for b.Loop() {
		entryPlacer.Place(b.Context(), placer.Work{Service: "service-1", Prefix: 77}).Grant.Release()
	}
}

func BenchmarkUpdateInALargeFleet(b *testing.B) {
	entryPlacer, _ := newLargeFleet()
	servers := []placer.Server{}

	for _, status := range entryPlacer.Status() {
		servers = append(servers, status.Server)
	}

	for b.Loop() {
		entryPlacer.UpdateServers(servers)
	}
}

// Placing by learned capacity costs about as much as placing by listed places.
func BenchmarkPlaceWithLearnedCapacity(b *testing.B) {
	learned := gauger.NewGauger()
	entryPlacer, _ := newLargeFleet(placer.WithGauger(learned))
	measures := []gauger.Measure{}

	for number := range largeServers {
		sample := gauger.Sample{Running: 1 + number%8, Events: 20, GapMicros: int64(20*30_000 + number), Firsts: 5, FirstMicros: int64(5*50_000 + number)}
		measures = append(measures, gauger.Measure{ID: fmt.Sprintf("server-%d", number), Samples: []gauger.Sample{sample}, Runs: 1, RunMicros: 900_000})
	}

	for _, measure := range measures {
		entryPlacer.ApplyMeasures([]gauger.Measure{measure})
	}

	for b.Loop() {
		entryPlacer.Place(b.Context(), placer.Work{Service: "service-1", Prefix: 77}).Grant.Release()
	}
}
