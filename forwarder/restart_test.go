package forwarder_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/emulator"
	"limpetrail/forwarder"
	"limpetrail/placer"
)

// A server that had started again under its ID, with other software, sent the first events of a
// stream before the list showed it. The stream went on at servers of the version in the list.
func TestStreamOfARestartedServerJoinsTwoVersions(t *testing.T) {
	const listedStart, ownStart = 1000, 2000

	for name, scenario := range map[string]struct {
		software  string
		born      int64
		takenUp   bool
		outcome   forwarder.Outcome
		continues bool
	}{
		"the start that is listed":             {"v1", listedStart, false, forwarder.Answered, true},
		"the listed start, taken up":           {"v1", listedStart, true, forwarder.Answered, true},
		"another start with other software":    {"v2", ownStart, false, forwarder.Broken, false},
		"another start, taken up":              {"v2", ownStart, true, forwarder.Refused, false},
		"another start with the same software": {"v1", ownStart, false, forwarder.Broken, false},
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, 3, func(fleet *fleet) {
				list := []placer.Server{}
				for _, server := range fleet.servers {
					server.SetStart("v1", listedStart)
					list = append(list, placer.Server{ID: server.ID, Incarnation: listedStart, Software: "v1", Address: server.ID, Service: serviceName, Places: server.Places})
				}

				first := fleet.servers[0]
				first.SetStart(scenario.software, scenario.born)
				first.SetFaults(emulator.EventFaults{BreakAfter: 5, EndProcess: true})
				fleet.placer.UpdateServers(list[:1])

				began, route := fleet.newCall(streamRoute(), "", -1), streamRoute()
				if scenario.takenUp {
					// The first attempt is all that the route allows.
					began.Route = streamRoute()
					began.Route.AttemptLimit = 1
				}

				answer := &recordedAnswer{}

				// The others are listed once the stream has begun.
				time.AfterFunc(50*time.Millisecond, func() { fleet.placer.UpdateServers(list) })

				result := fleet.forwarder.Forward(context.Background(), began, answer)

				if scenario.takenUp {
					require.Equal(t, forwarder.Broken, result.Outcome)

					result = fleet.forwarder.Forward(context.Background(), fleet.newCall(route, began.ID, 4), answer)
				}

				require.Equal(t, scenario.outcome, result.Outcome, result.Reason)
				require.Len(t, versionsOf(answer.body.String()), 1)
				require.Equal(t, scenario.continues, strings.Count(answer.body.String(), "data:") > 5)
			})
		})
	}
}
