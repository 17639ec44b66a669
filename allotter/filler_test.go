package allotter_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"limpetrail/allotter"
)

// shares returns the part of many servers that each claimant fills.
func shares(dataCentre string, claimants ...allotter.Claimant) map[string]float64 {
	const servers = 4000

	found := map[string]float64{}
	for server := range servers {
		found[allotter.Filler(fmt.Sprint(server), dataCentre, claimants)] += 1.0 / servers
	}

	return found
}

func claimant(entry, dataCentre string, timely, late int) allotter.Claimant {
	return allotter.Claimant{Entry: entry, DataCentre: dataCentre, Backlog: allotter.Backlog{Timely: timely, Late: late}}
}

func TestServersGoWhereWorkWaits(t *testing.T) {
	for name, scenario := range map[string]struct {
		claimants []allotter.Claimant
		expected  map[string]float64
	}{
		"nobody has work":            {nil, map[string]float64{"": 1}},
		"nothing waits":              {[]allotter.Claimant{claimant("a", "x", 0, 0)}, map[string]float64{"": 1}},
		"one has work":               {[]allotter.Claimant{claimant("a", "y", 1, 0), claimant("b", "x", 0, 0)}, map[string]float64{"a": 1}},
		"by how much":                {[]allotter.Claimant{claimant("a", "y", 30, 0), claimant("b", "z", 10, 0)}, map[string]float64{"a": 0.75, "b": 0.25}},
		"near work counts twice":     {[]allotter.Claimant{claimant("a", "x", 10, 0), claimant("b", "z", 10, 0)}, map[string]float64{"a": 2.0 / 3, "b": 1.0 / 3}},
		"what is late waits":         {[]allotter.Claimant{claimant("a", "x", 0, 100), claimant("b", "z", 1, 5)}, map[string]float64{"b": 1}},
		"all is late, by how much":   {[]allotter.Claimant{claimant("a", "y", 0, 3), claimant("b", "z", 0, 1)}, map[string]float64{"a": 0.75, "b": 0.25}},
		"many entries, an even part": {[]allotter.Claimant{claimant("a", "y", 5, 0), claimant("b", "z", 5, 0), claimant("c", "y", 5, 0), claimant("d", "z", 5, 0)}, map[string]float64{"a": 0.25, "b": 0.25, "c": 0.25, "d": 0.25}},
	} {
		t.Run(name, func(t *testing.T) {
			found := shares("x", scenario.claimants...)
			require.Len(t, found, len(scenario.expected))

			for entry, share := range scenario.expected {
				require.InDelta(t, share, found[entry], 0.03, entry)
			}
		})
	}
}

// An item that starts changes a backlog by one. Few servers get another filler by it.
func TestFewServersMoveAsWorkStarts(t *testing.T) {
	before := []allotter.Claimant{claimant("a", "x", 20, 0), claimant("b", "x", 20, 0)}
	after := []allotter.Claimant{claimant("a", "x", 19, 0), claimant("b", "x", 20, 0)}
	moved := 0

	const servers = 1000
	for server := range servers {
		if allotter.Filler(fmt.Sprint(server), "x", before) != allotter.Filler(fmt.Sprint(server), "x", after) {
			moved++
		}
	}

	require.Less(t, moved, servers/20)
}
