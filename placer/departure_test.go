package placer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/placer"
)

// A server that announced that it is leaving gets no work until it restarts as another
// incarnation: withdrawn servers must not come back into use through an old server list.
func TestServersThatAnnounceLeavingGetNoWork(t *testing.T) {
	for name, scenario := range map[string]struct {
		after  func(fixture *fixture)
		usable bool
	}{
		"nothing more":              {after: func(*fixture) {}},
		"the list still says ready": {after: func(fixture *fixture) { fixture.setServers("x", "y") }},
		"removed from the list, then in an older copy of it": {after: func(fixture *fixture) {
			fixture.setServers("y")
			fixture.setServers("x", "y")
		}},
		"absent for minutes": {after: func(fixture *fixture) {
			fixture.setServers("y")
			time.Sleep(5 * time.Minute)
			fixture.setServers("x", "y")
		}},
		"a health check passes": {after: func(fixture *fixture) { fixture.placer.RecordPassedCheck(fixture.list[0]) }},
		"another incarnation of the ID": {usable: true, after: func(fixture *fixture) {
			fixture.list[0].Incarnation++
			fixture.placer.UpdateServers(fixture.list)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			runFixture(t, func(fixture *fixture) {
				fixture.setServers("x", "y")

				grant, server := fixture.place("y")
				require.Equal(t, "x", server)
				require.False(t, grant.Withdrawn())

				grant.RecordDeparture("r-1")
				require.True(t, grant.Withdrawn())
				scenario.after(fixture)

				_, server = fixture.place("y")
				require.Equal(t, scenario.usable, server == "x")

				_, batch := fixture.placer.PlaceBatch(placer.Work{Service: modelService, Exclude: []string{"y"}})
				require.False(t, batch && !scenario.usable)
				// The request that runs there continues.
				select {
				case <-grant.Preempted:
					require.Fail(t, "a run on a leaving server was preempted")
				default:
				}
			})
		})
	}
}

// An entry that starts learns of departures from others' reports before it has sent work
// itself, even if its copy of the list doesn't include the server yet.
func TestReportedDeparturesApply(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		fixture.placer.RecordDepartures([]placer.Departure{{ID: "x", Incarnation: 1}}, "report of entry-2")
		require.Empty(t, fixture.placer.Departures())

		fixture.setServers("x", "y")
		require.Equal(t, []placer.Departure{{ID: "x", Incarnation: 1}}, fixture.placer.Departures())

		_, server := fixture.place("y")
		require.NotEqual(t, "x", server)
	})
}
