package forwarder_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/emulator"
	"limpetrail/forwarder"
	"limpetrail/matcher"
	"limpetrail/placer"
)

// listChanges are changes of the list of servers, the first of which runs the call.
func listChanges() map[string]func(list []placer.Server) []placer.Server {
	change := func(apply func(server *placer.Server)) func(list []placer.Server) []placer.Server {
		return func(list []placer.Server) []placer.Server {
			apply(&list[0])

			return list
		}
	}

	return map[string]func(list []placer.Server) []placer.Server{
		"leaves":           change(func(server *placer.Server) { server.Leaving = true }),
		"is removed":       func(list []placer.Server) []placer.Server { return list[1:] },
		"all are removed":  func([]placer.Server) []placer.Server { return nil },
		"starts again":     change(func(server *placer.Server) { server.Incarnation++ }),
		"has new software": change(func(server *placer.Server) { server.Incarnation, server.Software = server.Incarnation+1, "v2" }),
		"version leaves": func(list []placer.Server) []placer.Server {
			for index := range list {
				list[index].Incarnation, list[index].Software = list[index].Incarnation+1, "v2"
			}

			return list
		},
		"moves to another service": change(func(server *placer.Server) { server.Service = "other" }),
		"has fewer places":         change(func(server *placer.Server) { server.Places = 1 }),
	}
}

// A change of the list of servers, as by a new configuration, ended the calls that ran there.
func TestListChangesEndRunningCalls(t *testing.T) {
	for name, scenario := range map[string]struct {
		route *matcher.Route
		// after is the number of events before the silence.
		after int
	}{
		"stream":                        {route(matcher.Stream, true, 2), 5},
		"stream before its first event": {route(matcher.Stream, true, 2), 0},
		"stream, once":                  {route(matcher.Stream, false, 1), 5},
		"repeatable":                    {route(matcher.Idempotent, false, 2), 0},
		"once":                          {route(matcher.AtMostOnce, false, 1), 0},
	} {
		for changed, change := range listChanges() {
			for _, silence := range []time.Duration{50 * time.Millisecond, time.Second, 1500 * time.Millisecond} {
				for _, othersFree := range []bool{false, true} {
					t.Run(fmt.Sprint(name, ", server ", changed, ", ", silence, ", others free ", othersFree), func(t *testing.T) {
						result, answer := forwarder.Result{}, ""

						withFleet(t, 2, func(fleet *fleet) {
							result, answer = fleet.forwardDuringChange(scenario.route, scenario.after, silence, othersFree, change)
						})

						require.Equal(t, forwarder.Answered.String(), result.Outcome.String(), result.Reason)
						require.LessOrEqual(t, len(versionsOf(answer)), 1)

						if scenario.route.Kind == matcher.Stream {
							require.Equal(t, 20, strings.Count(answer, "data:"))
						} else {
							require.Equal(t, expectedBody(scenario.route.Kind, "call-1"), answer)
						}
					})
				}
			}
		}
	}
}

// forwardDuringChange forwards a call to a server that is silent once, changes the list of servers
// meanwhile, and returns the result and the answer.
func (fleet *fleet) forwardDuringChange(route *matcher.Route, after int, silence time.Duration, othersFree bool, change func([]placer.Server) []placer.Server) (forwarder.Result, string) {
	list := fleet.listed("v1", "v1")
	fleet.placer.UpdateServers(list)

	free := fleet.occupy("server-2")
	defer free()

	faults := emulator.EventFaults{StallAfter: after, StallFor: silence}
	if after == 0 {
		faults = emulator.EventFaults{SilentBeforeHead: silence}
	}

	fleet.servers[0].SetFaults(faults)

	if route.Kind != matcher.Stream {
		fleet.servers[0].EventCount, fleet.servers[1].EventCount = 0, 0
	}

	result, answer, call := forwarder.Result{}, &recordedAnswer{}, sync.WaitGroup{}
	call.Go(func() { result, answer, _ = fleet.forward(context.Background(), route) })

	// A stream is silent from 155 ms on.
	time.Sleep(180 * time.Millisecond)

	changed := change(slices.Clone(list))
	if last := len(changed) - 1; last >= 0 {
		fleet.servers[1].SetStart(changed[last].Software, 0)
	}

	fleet.placer.UpdateServers(changed)

	if othersFree {
		free()
	}

	call.Wait()

	return result, answer.body.String()
}
