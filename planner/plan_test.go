package planner_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"limpetrail/driver"
	"limpetrail/editor"
	"limpetrail/planner"
)

func TestPlan(t *testing.T) {
	documentIndex := editor.NewIndex(&editor.Document{Services: []editor.Service{
		{Name: "briefing", Kind: editor.ServiceKindModel, Model: "forecast", Version: "v2"},
		{Name: "notice", Kind: editor.ServiceKindModel, Model: "forecast", Version: "v2", Adapter: "school"},
		{Name: "order", Kind: editor.ServiceKindPlain},
	}})

	order := func(instance string, verb driver.Verb, version, adapter string) planner.ReplicaOrder {
		return planner.ReplicaOrder{Instance: instance, Order: driver.Order{Verb: verb, Model: "forecast", Version: version, Adapter: adapter}}
	}

	for name, scenario := range map[string]struct {
		states   []planner.ReplicaState
		expected []planner.ReplicaOrder
	}{
		"nothing loaded": {
			states:   []planner.ReplicaState{{Instance: "a", Service: "briefing"}},
			expected: []planner.ReplicaOrder{order("a", driver.VerbLoad, "v2", "")},
		},
		"wanted version is loaded": {
			states: []planner.ReplicaState{{Instance: "a", Service: "briefing", Models: []string{"forecast@v2"}}},
		},
		"old version is kept until the new one is loaded": {
			states:   []planner.ReplicaState{{Instance: "a", Service: "briefing", Models: []string{"forecast@v1"}}},
			expected: []planner.ReplicaOrder{order("a", driver.VerbLoad, "v2", "")},
		},
		"old version is unloaded once the new one is loaded": {
			states:   []planner.ReplicaState{{Instance: "a", Service: "briefing", Models: []string{"forecast@v1", "forecast@v2"}}},
			expected: []planner.ReplicaOrder{order("a", driver.VerbUnload, "v1", "")},
		},
		"loads come before unloads": {
			states: []planner.ReplicaState{
				{Instance: "a", Service: "briefing", Models: []string{"forecast@v1", "forecast@v2"}},
				{Instance: "b", Service: "notice"},
			},
			expected: []planner.ReplicaOrder{order("b", driver.VerbLoad, "v2", "school"), order("a", driver.VerbUnload, "v1", "")},
		},
		"plain and unknown services get no orders": {
			states: []planner.ReplicaState{{Instance: "a", Service: "order"}, {Instance: "b", Service: "gone"}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			orders := planner.Plan(documentIndex, scenario.states)
			require.Len(t, orders, len(scenario.expected))

			for index, want := range scenario.expected {
				require.Equal(t, want, orders[index])
			}
		})
	}
}
