package placer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/placer"
)

// Nothing but another incarnation takes back that a server said that it leaves.
func TestServersThatSayTheyLeaveGetNoWork(t *testing.T) {
	for name, scenario := range map[string]struct {
		after func(story *story)
		used  bool
	}{
		"nothing more":              {after: func(*story) {}},
		"the list still says ready": {after: func(story *story) { story.lists("x", "y") }},
		"a copy of the list without it, then one from before": {after: func(story *story) {
			story.lists("y")
			story.lists("x", "y")
		}},
		"absent for minutes": {after: func(story *story) {
			story.lists("y")
			time.Sleep(5 * time.Minute)
			story.lists("x", "y")
		}},
		"a health check passes": {after: func(story *story) { story.placer.Pass(story.list[0]) }},
		"another incarnation of the name": {used: true, after: func(story *story) {
			story.list[0].Incarnation++
			story.placer.Update(story.list)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			tell(t, func(story *story) {
				story.lists("x", "y")

				grant, server := story.takes("y")
				require.Equal(t, "x", server)
				require.False(t, grant.Withdrawn())

				grant.Leaves("r-1")
				require.True(t, grant.Withdrawn())
				scenario.after(story)

				_, server = story.takes("y")
				require.Equal(t, scenario.used, server == "x")

				_, batch := story.placer.PlaceBatch(placer.Work{Service: modelService, Exclude: []string{"y"}})
				require.False(t, batch && !scenario.used)
				// What runs there goes on.
				select {
				case <-grant.Yield:
					require.Fail(t, "a run at a leaving server was taken back")
				default:
				}
			})
		})
	}
}

// An entry that starts learns of departures from others before it has sent work
// itself, also where its copy of the list does not have the server yet.
func TestDeparturesAreHeard(t *testing.T) {
	tell(t, func(story *story) {
		story.placer.Depart([]placer.Departure{{ID: "x", Incarnation: 1}}, "report of entry-2")
		require.Empty(t, story.placer.Departures())

		story.lists("x", "y")
		require.Equal(t, []placer.Departure{{ID: "x", Incarnation: 1}}, story.placer.Departures())

		_, server := story.takes("y")
		require.NotEqual(t, "x", server)
	})
}
