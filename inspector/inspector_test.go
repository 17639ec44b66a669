package inspector_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/inspector"
	"limpetrail/matcher"
)

// newDocument returns a document without mistakes, changed by the given function.
func newDocument(change func(routes *[]matcher.Route, services map[string]matcher.Service, limits *matcher.Limits, workspaces *[]matcher.Workspace)) *matcher.Document {
	routes := []matcher.Route{{
		Name: "a", Host: "h.example", Prefix: "/a/", Timeout: time.Second, LatencyTarget: time.Second, CompletionTarget: time.Minute,
		Expiry: time.Minute, Shares: []matcher.Share{{Service: "s", Weight: 1}},
	}}
	services := map[string]matcher.Service{"s": {Name: "s"}}
	limits := matcher.Limits{HeaderBytes: 1}
	workspaces := []matcher.Workspace{{Name: "w", Keys: []string{"secret-1"}, Cap: matcher.Cap{PerSecond: 2, Burst: 1}}}

	change(&routes, services, &limits, &workspaces)

	document := matcher.NewDocument(1, routes, services, limits)
	document.SetWorkspaces(workspaces)

	return document
}

// Each scenario is a mistake that went unnoticed until requests failed; a sound document must
// give no warning.
func TestMistakesAreNotReported(t *testing.T) {
	route := func(change func(route *matcher.Route)) func(*[]matcher.Route, map[string]matcher.Service, *matcher.Limits, *[]matcher.Workspace) {
		return func(routes *[]matcher.Route, _ map[string]matcher.Service, _ *matcher.Limits, _ *[]matcher.Workspace) {
			change(&(*routes)[0])
		}
	}

	for name, scenario := range map[string]struct {
		change  func(*[]matcher.Route, map[string]matcher.Service, *matcher.Limits, *[]matcher.Workspace)
		remarks []string
	}{
		"sound": {route(func(*matcher.Route) {}), nil},
		"hidden route": {func(routes *[]matcher.Route, _ map[string]matcher.Service, _ *matcher.Limits, _ *[]matcher.Workspace) {
			*routes = append(*routes, matcher.Route{Name: "b", Host: "H.example", Prefix: "/a/", Shares: (*routes)[0].Shares})
		}, []string{"Unused route b"}},
		"host with a port":     {route(func(route *matcher.Route) { route.Host = "h.example:80" }), []string{"Unused route a"}},
		"prefix without slash": {route(func(route *matcher.Route) { route.Prefix = "a/" }), []string{"Unused route a"}},
		"exempt own path":      {route(func(route *matcher.Route) { route.KeyExempt, route.Prefix = true, "/limpetrail/lots/" }), []string{"Unused route a"}},
		"unknown service":      {route(func(route *matcher.Route) { route.Shares = []matcher.Share{{Service: "x"}} }), []string{"Unused route a", "Unused service s"}},
		"target above timeout": {route(func(route *matcher.Route) { route.LatencyTarget++ }), []string{"Contradictory route a"}},
		"target above expiry":  {route(func(route *matcher.Route) { route.CompletionTarget++ }), []string{"Contradictory route a"}},
		"header limit of 0": {func(_ *[]matcher.Route, _ map[string]matcher.Service, limits *matcher.Limits, _ *[]matcher.Workspace) {
			limits.HeaderBytes = 0
		}, []string{"Contradictory limits"}},
		"burst below one request": {func(_ *[]matcher.Route, _ map[string]matcher.Service, _ *matcher.Limits, workspaces *[]matcher.Workspace) {
			(*workspaces)[0].Cap.Burst = 0.5
		}, []string{"Contradictory workspace w"}},
	} {
		t.Run(name, func(t *testing.T) {
			var found []string
			for _, remark := range inspector.Inspect(newDocument(scenario.change)) {
				found = append(found, fmt.Sprint(remark.Kind, " ", remark.Entry))
			}

			require.Equal(t, scenario.remarks, found)
		})
	}
}

// An edit that changed more than was meant must show it, and must not show keys.
func TestDifferencesAreHiddenOrRevealKeys(t *testing.T) {
	before := newDocument(func(*[]matcher.Route, map[string]matcher.Service, *matcher.Limits, *[]matcher.Workspace) {})
	after := newDocument(func(routes *[]matcher.Route, services map[string]matcher.Service, _ *matcher.Limits, workspaces *[]matcher.Workspace) {
		(*routes)[0].Timeout = 2 * time.Second
		services["t"] = matcher.Service{Name: "t", HealthPath: "/up"}
		(*workspaces)[0].Keys = []string{"secret-2"}
		(*workspaces)[0].Cap.PerSecond = 3
		*workspaces = append(*workspaces, matcher.Workspace{Name: "v"})
	})

	differences := inspector.Compare(before, after)
	require.Equal(t, []inspector.Difference{
		{Change: inspector.Changed, Entry: "cap of workspace w", Before: "PerSecond=2", After: "PerSecond=3"},
		{Change: inspector.Added, Entry: "key f4b6bb654812", After: "Workspace=w"},
		{Change: inspector.Removed, Entry: "key f7e7c36e458e", Before: "Workspace=w"},
		{Change: inspector.Changed, Entry: "route a", Before: "Timeout=1s", After: "Timeout=2s"},
		{Change: inspector.Added, Entry: "service t", After: "HealthPath=/up MaxConnections=0"},
		{Change: inspector.Added, Entry: "workspace v", After: "Priority=unset"},
	}, differences)
	require.Empty(t, inspector.Compare(before, before))
}
