package gossiper

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/kernel"
	"limpetrail/placer"
)

// fixture is an entry with three peers, a, b and c.
type fixture struct {
	*Gossiper
	number int64
}

func newFixture(t *testing.T) *fixture {
	t.Helper()

	common := kernel.NewDiscardCommon("own")
	created := &fixture{Gossiper: NewGossiper(common, placer.NewPlacer(common), "")}
	created.SetPeers(map[string]string{"a": "127.0.0.1:1", "b": "127.0.0.1:2", "c": "127.0.0.1:3"})

	return created
}

// report receives a report of an entry; start numbers its processes.
func (fixture *fixture) report(instance string, start int64) {
	fixture.number++
	fixture.applyReport(Report{Instance: instance, Process: fmt.Sprintf("%s#%d", instance, start), Incarnation: start, Number: fixture.number})
}

// A process is silent if it stopped reporting while most other entries still report, or if
// a later process of its entry reports.
func TestSilentProcesses(t *testing.T) {
	for name, scenario := range map[string]struct {
		act    func(fixture *fixture)
		silent bool
	}{
		"all report":       {func(fixture *fixture) { fixture.report("a", 1) }, false},
		"reports are lost": {func(fixture *fixture) { time.Sleep(3 * (maxReportInterval + fixture.reportInterval())) }, false},
		"it pauses for 1.5 s and goes on": {func(fixture *fixture) {
			time.Sleep(maxReportInterval + fixture.reportInterval() + 1500*time.Millisecond)
			fixture.report("b", 1)
			fixture.report("c", 1)
		}, false},
		"it stopped reporting": {func(fixture *fixture) {
			time.Sleep(fixture.silenceTimeout())
			fixture.report("b", 1)
			fixture.report("c", 1)
		}, true},
		"it reports again": {func(fixture *fixture) {
			time.Sleep(fixture.silenceTimeout())
			fixture.report("b", 1)
			fixture.report("c", 1)
			fixture.report("a", 1)
		}, false},
		"a later process reports":             {func(fixture *fixture) { fixture.report("a", 2) }, true},
		"an old report of an earlier process": {func(fixture *fixture) { fixture.report("a", 0) }, false},
		"this entry is disconnected":          {func(*fixture) { time.Sleep(time.Minute) }, false},
		"most others are silent": {func(fixture *fixture) {
			time.Sleep(fixture.silenceTimeout())
			fixture.report("b", 1)
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := newFixture(t)
				for _, instance := range []string{"a", "b", "c"} {
					fixture.report(instance, 1)
				}

				scenario.act(fixture)
				require.Equal(t, scenario.silent, fixture.IsSilent("a#1"))
				require.False(t, fixture.IsSilent("unlisted#1"))
			})
		})
	}
}

// Reports are less frequent among many entries. This alone, or two lost reports, must not
// make an entry silent.
func TestReportIntervalGrowsWithPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(t)
		peers := map[string]string{}

		for number := range 380 {
			peers[fmt.Sprint(number)] = fmt.Sprintf("127.0.0.1:%d", 1000+number)
		}

		fixture.SetPeers(peers)

		interval := fixture.reportInterval() + maxReportInterval

		for range 3 {
			for instance := range peers {
				fixture.report(instance, 1)
			}

			// Two reports of entry a are lost.
			fixture.report("a", 1)
			time.Sleep(3 * interval)

			for instance := range peers {
				fixture.report(instance, 1)
			}

			require.False(t, fixture.IsSilent("a#1"))
		}
	})
}

// Two entries that take the same turn, or turns that count entries which have ended, would
// verify too often or too late.
func TestTurnsFollowTheNamesOfReportingEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(t)
		require.Zero(t, fixture.TurnAfter("a"), "nobody reports")

		for _, instance := range []string{"a", "b", "c"} {
			fixture.report(instance, 1)
		}

		turns := func() []int {
			return []int{fixture.TurnAfter("a"), fixture.TurnAfter("b"), fixture.TurnAfter("c"), fixture.TurnAfter("own"), fixture.TurnAfter("")}
		}
		require.Equal(t, []int{3, 2, 1, 4, 4}, turns())

		time.Sleep(fixture.silenceTimeout())
		fixture.report("a", 1)
		fixture.report("c", 1)
		require.Equal(t, []int{2, 3, 1, 3, 3}, turns(), "b has ended")
	})
}
