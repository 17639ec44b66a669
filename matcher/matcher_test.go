package matcher_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"limpetrail/kernel"
	"limpetrail/matcher"
)

func newDocument(version int64) *matcher.Document {
	return matcher.NewDocument(version, []matcher.Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "B.example", Prefix: "/x/"},
	}, nil, matcher.Limits{})
}

func TestMatchPicksLongestPrefix(t *testing.T) {
	for name, scenario := range map[string]struct {
		host, path, route string
	}{
		"longest prefix":      {"a.example", "/x/y/z", "long"},
		"shorter prefix":      {"a.example", "/x/yz", "short"},
		"another host":        {"b.example", "/x/y/z", "other"},
		"host in capitals":    {"A.Example", "/x/1", "short"},
		"host with a port":    {"a.example:80", "/x/1", "short"},
		"unknown host":        {"c.example", "/x/1", ""},
		"no matching prefix":  {"a.example", "/z/", ""},
		"missing slash":       {"a.example", "/x", ""},
		"path is not cleaned": {"a.example", "/x//y/../y/z", "short"},
	} {
		t.Run(name, func(t *testing.T) {
			route := newDocument(1).Match(scenario.host, scenario.path)
			if scenario.route == "" {
				require.Nil(t, route)

				return
			}

			require.Equal(t, scenario.route, route.Name)
		})
	}
}

// An older version never replaces a newer one, in whatever order they arrive.
func TestVersionNeverDecreases(t *testing.T) {
	current := matcher.NewCurrentDocument(kernel.NewDiscardCommon("entry"))
	require.Nil(t, current.Document())

	for _, step := range []struct{ applied, inForce int64 }{{5, 5}, {3, 5}, {5, 5}, {9, 9}, {8, 9}} {
		current.Apply(newDocument(step.applied))
		require.Equal(t, step.inForce, current.Document().Version)
	}
}

func TestPickFollowsWeights(t *testing.T) {
	route := matcher.Route{Shares: []matcher.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	picks := map[string]int{}

	for point := range 100 {
		picks[route.PickService(float64(point)/100)]++
	}

	require.Equal(t, map[string]int{"a": 90, "b": 10}, picks)
	require.Equal(t, "b", route.PickService(1))
}

func TestRepeatableRoutes(t *testing.T) {
	for _, scenario := range []struct {
		route      matcher.Route
		repeatable bool
	}{
		{matcher.Route{Kind: matcher.AtMostOnce}, false},
		{matcher.Route{Kind: matcher.Idempotent}, true},
		{matcher.Route{Kind: matcher.Stream}, false},
		{matcher.Route{Kind: matcher.Stream, Resumable: true}, true},
		{matcher.Route{Kind: matcher.Batch}, true},
	} {
		require.Equal(t, scenario.repeatable, scenario.route.Repeatable(), scenario.route.Kind.String())
	}
}

// The index must find the route that a scan over all routes finds, also where prefixes contain each
// other and have many lengths.
func TestIndexFindsTheRouteOfAScan(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	word := func(longest int) string {
		text := ""
		for range random.IntN(longest) {
			text += string("/ab"[random.IntN(3)])
		}

		return text
	}

	for range 200 {
		routes := make([]matcher.Route, random.IntN(30))
		for number := range routes {
			routes[number] = matcher.Route{Name: fmt.Sprint(number), Host: "h" + word(2), Prefix: word(8)}
		}

		document := matcher.NewDocument(1, routes, nil, matcher.Limits{})

		for range 50 {
			host, path := "h"+word(2), word(12)

			var expected *matcher.Route

			for number, route := range routes {
				if route.Host == host && strings.HasPrefix(path, route.Prefix) && (expected == nil || len(route.Prefix) > len(expected.Prefix)) {
					expected = &routes[number]
				}
			}

			require.Equal(t, expected, document.Match(host, path))
		}
	}
}

// A key that cannot be looked up without allocations would make each call dearer.
func TestLookupDoesNotAllocate(t *testing.T) {
	document, key := largeDocument(2000, 5000, 500), strings.Repeat("k", 256)

	require.Zero(t, testing.AllocsPerRun(100, func() {
		document.Match("host-0007.example:80", "/service-0007/v1/x")
		document.WorkspaceOfKey(key)
	}))
}
