package placer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/kernel"
	"limpetrail/placer"
	"limpetrail/throttler"
)

const (
	// limitRunTime is the length of a run, whose answer begins after limitFirstBytes.
	limitRunTime    = 600 * time.Millisecond
	limitFirstBytes = 50 * time.Millisecond
	// limitReportInterval is the time between two reports of an entry.
	limitReportInterval = 50 * time.Millisecond
	// leaseTime is how long the platform lists an entry that has ended.
	leaseTime = 3 * time.Second
	// namedAt is when the servers begin to name their limits.
	namedAt = 2 * time.Second
	// limitNotice is the time from then on after which the limit must hold.
	limitNotice = 3 * time.Second
	// limitWindow is the time over which requests are counted.
	limitWindow = 4 * time.Second
	// eventAt is when the event of a scenario happens.
	eventAt  = 9 * time.Second
	limitDay = 21 * time.Second
)

// limitFleet is a number of entries before servers that name limits.
type limitFleet struct {
	servers []placer.Server
	started time.Time
	running sync.WaitGroup

	// mutex guards the fields below and those of the entries.
	mutex   sync.Mutex
	random  *rand.Rand
	entries []*limitEntry
	// perSecond is the limit that all servers name; 0 for none.
	perSecond float64
	// sends holds when steady entries sent requests to each server.
	sends map[string][]time.Time
}

// limitEntry is one entry of the fleet.
type limitEntry struct {
	name   string
	places *placer.Placer
	// steady entries were not disturbed; only their requests count.
	steady bool
	// silenced entries send and receive no reports; ended ones do nothing.
	silenced, ended bool
}

// addEntry adds an entry to the fleet. The mutex is held.
func (fleet *limitFleet) addEntry(ctx context.Context, name string) *limitEntry {
	entry := &limitEntry{name: name, places: placer.NewPlacer(kernel.NewDiscardCommon(name)), steady: true}
	entry.places.UpdateServers(fleet.servers)
	fleet.entries = append(fleet.entries, entry)
	fleet.running.Go(func() { fleet.report(ctx, entry) })

	return entry
}

// list makes the platform's list of entries known to all of them.
func (fleet *limitFleet) list() {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()

	for _, entry := range fleet.entries {
		others := map[string]string{}

		for _, other := range fleet.entries {
			if other != entry && !other.ended && !other.silenced {
				others[other.name] = ""
			}
		}

		if !entry.silenced {
			entry.places.SetListedPeers(others)
		}
	}
}

// report sends an entry's reports to all others. One in ten is lost.
func (fleet *limitFleet) report(ctx context.Context, entry *limitEntry) {
	for kernel.Pause(ctx, limitReportInterval) && fleet.isLive(entry) {
		loads, limits := entry.places.OwnLoads(), entry.places.ReportedLimits()

		for _, other := range fleet.receivers(entry) {
			other.ApplyReport(entry.name, "", loads)
			other.ApplyReportedLimits(entry.name, limits)
		}
	}
}

// receivers returns the entries that get a report of an entry.
func (fleet *limitFleet) receivers(from *limitEntry) []*placer.Placer {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()

	receivers := []*placer.Placer{}

	for _, entry := range fleet.entries {
		if entry != from && !from.silenced && !entry.silenced && !entry.ended && fleet.random.IntN(10) > 0 {
			receivers = append(receivers, entry.places)
		}
	}

	return receivers
}

func (fleet *limitFleet) isLive(entry *limitEntry) bool {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()

	return !entry.ended
}

// drawCall returns the entry of the next caller and the time until it comes.
func (fleet *limitFleet) drawCall(perSecond float64) (*limitEntry, time.Duration) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()

	return fleet.entries[fleet.random.IntN(len(fleet.entries))], time.Duration(fleet.random.ExpFloat64() / perSecond * float64(time.Second))
}

// call has callers arrive at random entries, at a rate for the whole fleet.
func (fleet *limitFleet) call(ctx context.Context, perSecond float64) {
	for number := 0; ; number++ {
		entry, pause := fleet.drawCall(perSecond)

		switch {
		case !kernel.Pause(ctx, pause):
			return
		case fleet.isLive(entry):
			fleet.running.Go(func() { fleet.attempt(ctx, entry, number) })
		}
	}
}

// attempt sends a request to up to two servers, as the first one refuses one in four.
func (fleet *limitFleet) attempt(ctx context.Context, entry *limitEntry, number int) {
	work := placer.Work{RequestID: fmt.Sprint(number), Service: modelService, MaxWait: 100 * time.Millisecond}

	for attempt := range 2 {
		decision := entry.places.Place(ctx, work)
		if decision.Grant == nil {
			return
		}

		refused := attempt == 0 && number%4 == 0
		fleet.run(entry, decision.Grant, refused)

		if !refused {
			return
		}

		work.Exclude = append(work.Exclude, decision.Grant.Server.ID)
	}
}

// runItems has an entry run batch items in all places that it gets.
func (fleet *limitFleet) runItems(ctx context.Context, entry *limitEntry) {
	for kernel.Pause(ctx, 100*time.Millisecond) && fleet.isLive(entry) {
		if grant, placed := entry.places.PlaceBatch(placer.Work{Service: modelService}); placed {
			fleet.running.Go(func() { fleet.run(entry, grant, false) })
		}
	}
}

func (fleet *limitFleet) run(entry *limitEntry, grant *placer.Grant, refused bool) {
	defer grant.Release()

	fleet.recordSend(entry, grant.Server.ID)
	time.Sleep(limitFirstBytes)
	grant.RecordStatement(fleet.statement(), "request")

	if !refused {
		time.Sleep(limitRunTime)
	}
}

func (fleet *limitFleet) recordSend(entry *limitEntry, server string) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()

	if entry.steady {
		fleet.sends[server] = append(fleet.sends[server], time.Now())
	}
}

// statement returns what the servers say now.
func (fleet *limitFleet) statement() throttler.Statement {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()

	if fleet.perSecond == 0 || time.Since(fleet.started) < namedAt {
		return throttler.Statement{}
	}

	return throttler.Statement{Limited: true, PerSecond: fleet.perSecond}
}

// most returns the most requests that a server got in a window after a time.
func (fleet *limitFleet) most(after time.Duration) int {
	most := 0

	for _, sends := range fleet.sends {
		for index, sent := range sends {
			if sent.Sub(fleet.started) < after {
				continue
			}

			end := slices.IndexFunc(sends[index:], func(later time.Time) bool { return later.Sub(sent) >= limitWindow })
			if end < 0 {
				end = len(sends) - index
			}

			most = max(most, end)
		}
	}

	return most
}

// between returns how many requests a server got on average.
func (fleet *limitFleet) between(from, to time.Duration) float64 {
	count := 0

	for _, sends := range fleet.sends {
		for _, sent := range sends {
			if at := sent.Sub(fleet.started); at >= from && at < to {
				count++
			}
		}
	}

	return float64(count) / float64(len(fleet.servers))
}

// Gateways each stayed below a server's limit that their sum exceeded.
func TestServersGetMoreThanTheLimitThatTheyName(t *testing.T) {
	type scenario struct {
		entries   int
		perSecond float64
		// event is called with the fleet's mutex held.
		event func(ctx context.Context, fleet *limitFleet)
		// changes is set if the event changes the limit.
		changes bool
	}

	scenarios := map[string]scenario{}

	for _, entries := range []int{1, 2, 4, 6} {
		for _, perSecond := range []float64{0.4, 2.5, 20} {
			scenarios[fmt.Sprintf("%d entries, %v a second", entries, perSecond)] = scenario{entries: entries, perSecond: perSecond}
		}
	}

	scenarios["36 entries, 2.5 a second"] = scenario{entries: 36, perSecond: 2.5}

	for name, event := range map[string]func(ctx context.Context, fleet *limitFleet){
		"an entry joins": func(ctx context.Context, fleet *limitFleet) {
			entry := fleet.addEntry(ctx, "entry-new")
			fleet.running.Go(func() { fleet.runItems(ctx, entry) })
			time.AfterFunc(300*time.Millisecond, fleet.list)
		},
		"an entry dies": func(_ context.Context, fleet *limitFleet) {
			fleet.entries[0].steady, fleet.entries[0].ended = false, true
			time.AfterFunc(leaseTime, fleet.list)
		},
		"an entry is cut off": func(_ context.Context, fleet *limitFleet) {
			fleet.entries[0].steady, fleet.entries[0].silenced = false, true
			time.AfterFunc(leaseTime, fleet.list)
		},
		"an entry is restarted": func(ctx context.Context, fleet *limitFleet) {
			fleet.entries[0].steady, fleet.entries[0].ended = false, true
			fleet.addEntry(ctx, fleet.entries[0].name).steady = false
			time.AfterFunc(300*time.Millisecond, fleet.list)
		},
		"all entries are restarted": func(ctx context.Context, fleet *limitFleet) {
			for _, entry := range slices.Clone(fleet.entries) {
				entry.steady, entry.ended = false, true
				fleet.addEntry(ctx, entry.name).steady = false
			}

			time.AfterFunc(300*time.Millisecond, fleet.list)
		},
	} {
		for _, entries := range []int{2, 4} {
			scenarios[fmt.Sprintf("%s of %d", name, entries)] = scenario{entries: entries, perSecond: 2.5, event: event}
		}
	}

	for name, to := range map[string]float64{"raised": 10, "lowered": 1} {
		scenarios["the limit is "+name] = scenario{entries: 4, perSecond: 2.5, changes: true, event: func(_ context.Context, fleet *limitFleet) { fleet.perSecond = to }}
	}

	for name, scenario := range scenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runLimitFleet(t, scenario.entries, scenario.perSecond, scenario.event, func(fleet *limitFleet) {
				counted := namedAt + limitNotice
				if scenario.changes {
					counted = eventAt + limitNotice
				}

				limit := fleet.perSecond * limitWindow.Seconds()
				require.LessOrEqual(t, float64(fleet.most(counted)), 1.5*limit+5)

				// The limit is not wasted either, but for what ended entries had of it.
				if scenario.event == nil || scenario.changes {
					require.Greater(t, fleet.between(counted, limitDay), 0.6*fleet.perSecond*(limitDay-counted).Seconds())
				}
			})
		})
	}
}

// Entries that do not share a limit must learn of its end as well.
func TestServerIsHeldToALimitThatItWithdrew(t *testing.T) {
	for _, entries := range []int{1, 4, 36} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			t.Parallel()

			withdraw := func(_ context.Context, fleet *limitFleet) { fleet.perSecond = 0 }

			runLimitFleet(t, entries, 2.5, withdraw, func(fleet *limitFleet) {
				const notice = 2 * time.Second

				before := fleet.between(0, namedAt) / namedAt.Seconds()
				after := fleet.between(eventAt+notice, limitDay) / (limitDay - eventAt - notice).Seconds()
				require.Greater(t, after, 0.8*before)
			})
		})
	}
}

// runLimitFleet plays a day of so many entries before servers that name a limit, with three
// times as many callers as it allows, and checks it after its end.
func runLimitFleet(t *testing.T, entries int, perSecond float64, event func(ctx context.Context, fleet *limitFleet), check func(fleet *limitFleet)) {
	t.Helper()

	const serverCount = 12

	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), limitDay)
		defer cancel()

		fleet := &limitFleet{random: rand.New(rand.NewPCG(1, 2)), started: time.Now(), perSecond: perSecond, sends: map[string][]time.Time{}}
		for number := range serverCount {
			fleet.servers = append(fleet.servers, placer.Server{ID: fmt.Sprint(number), Service: modelService, Places: 40})
		}

		fleet.mutex.Lock()

		for number := range entries {
			entry := fleet.addEntry(ctx, entryName(number))
			fleet.running.Go(func() { fleet.runItems(ctx, entry) })
		}

		fleet.mutex.Unlock()

		fleet.list()
		fleet.running.Go(func() { fleet.call(ctx, 3*max(1, perSecond)*serverCount) })

		time.Sleep(eventAt)

		if event != nil {
			fleet.mutex.Lock()
			event(ctx, fleet)
			fleet.mutex.Unlock()
		}

		fleet.running.Wait()
		check(fleet)
		time.Sleep(time.Minute)
	})
}

// Callers must learn at once that a limit is spent, and when they can come back.
func TestCallersWaitForALimitThatIsSpent(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		fixture.setServers("x")

		grant, _ := fixture.place()
		grant.RecordStatement(throttler.Statement{Limited: true, PerSecond: 2}, "r-1")
		grant.Release()

		started := time.Now()
		refused := fixture.placer.Place(context.Background(), placer.Work{Service: modelService, MaxWait: 100 * time.Millisecond})
		require.Equal(t, placer.Refused, refused.Verdict)
		require.Zero(t, time.Since(started))
		require.GreaterOrEqual(t, refused.RetryAfter, 500*time.Millisecond)

		time.Sleep(refused.RetryAfter)
		// Enough is saved for one request, and the next one can wait for its turn.
		grant, _ = fixture.place()
		require.NotNil(t, grant)
		grant.Release()

		patient := fixture.placer.Place(context.Background(), placer.Work{Service: modelService, MaxWait: time.Second})
		require.Equal(t, placer.Placed, patient.Verdict)
		require.Positive(t, patient.Waited)
		time.Sleep(time.Minute)
	})
}

// A limit belongs to one start of a server: it must not outlive it, nor be forgotten while the
// server is missing from the list.
func TestLimitGoesWithTheIncarnation(t *testing.T) {
	for name, scenario := range map[string]struct {
		after   func(fixture *fixture)
		limited bool
	}{
		"nothing more":         {limited: true, after: func(*fixture) {}},
		"missing for a minute": {limited: true, after: func(fixture *fixture) { fixture.setServers("y"); time.Sleep(time.Minute); fixture.setServers("x", "y") }},
		"started again":        {after: func(fixture *fixture) { fixture.list[0].Incarnation++; fixture.placer.UpdateServers(fixture.list) }},
		"withdrawn here": {after: func(fixture *fixture) {
			fixture.placer.RecordStatement(fixture.list[0], throttler.Statement{}, "r-2")
		}},
		"withdrawn at another entry": {after: func(fixture *fixture) {
			fixture.placer.ApplyReportedLimits("entry-2", []placer.ReportedLimit{{ID: "x", Incarnation: fixture.list[0].Incarnation}})
		}},
		"an older report says otherwise": {limited: true, after: func(fixture *fixture) {
			fixture.placer.ApplyReportedLimits("entry-2", []placer.ReportedLimit{{ID: "x", Incarnation: fixture.list[0].Incarnation, Age: time.Hour}})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			runFixture(t, func(fixture *fixture) {
				fixture.setServers("x", "y")

				grant, server := fixture.place("y")
				require.Equal(t, "x", server)
				grant.RecordStatement(throttler.Statement{Limited: true}, "r-1")
				grant.Release()
				scenario.after(fixture)

				// A limit of nothing leaves no request within the minute of the scenario's end.
				placed := 0

				for range 8 {
					if another, _ := fixture.place("y"); another != nil {
						another.Release()

						placed++
					}
				}

				require.Equal(t, scenario.limited, placed <= 1)
			})
		})
	}
}

// An entry that has no share of a limit must learn of its end, by a report or, if those are
// lost, by a request of its own.
func TestEntryWithoutAShareNeverLearnsThatALimitEnded(t *testing.T) {
	for name, scenario := range map[string]struct {
		reported bool
		within   time.Duration
	}{
		"by a report":                  {reported: true, within: time.Second},
		"by a request after a silence": {within: 15 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			runFixture(t, func(fixture *fixture) {
				other := placer.NewPlacer(kernel.NewDiscardCommon("entry-2"))

				fixture.setServers("x")
				other.UpdateServers(fixture.list)
				// The entries of the server's own data centre share the limit first.
				fixture.list[0].DataCentre = "b"
				fixture.placer.UpdateServers(fixture.list)
				fixture.placer.SetListedPeers(map[string]string{"entry-2": "b"})

				other.RecordStatement(fixture.list[0], throttler.Statement{Limited: true, PerSecond: 0.4}, "r-1")
				fixture.placer.ApplyReportedLimits("entry-2", other.ReportedLimits())
				time.Sleep(3 * time.Second)

				grant, _ := fixture.place()
				require.Nil(t, grant)

				other.RecordStatement(fixture.list[0], throttler.Statement{}, "r-2")

				if scenario.reported {
					fixture.placer.ApplyReportedLimits("entry-2", other.ReportedLimits())
				}

				time.Sleep(scenario.within)

				grant, _ = fixture.place()
				require.NotNil(t, grant)
			})
		})
	}
}
