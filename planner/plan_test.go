package planner_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"limpetrail/driver"
	"limpetrail/editor"
	"limpetrail/planner"
)

func TestPlan(t *testing.T) {
	index := editor.NewIndex(&editor.Document{Services: []editor.Service{
		{Name: "briefing", Kind: editor.ServiceKindModel, Model: "forecast", Version: "v2"},
		{Name: "notice", Kind: editor.ServiceKindModel, Model: "forecast", Version: "v2", Adapter: "school"},
		{Name: "order", Kind: editor.ServiceKindPlain},
	}})

	step := func(instance string, verb driver.Verb, version, adapter string) planner.Step {
		return planner.Step{Instance: instance, Order: driver.Order{Verb: verb, Model: "forecast", Version: version, Adapter: adapter}}
	}

	for name, scenario := range map[string]struct {
		states []planner.State
		wants  []planner.Step
	}{
		"nothing loaded": {
			states: []planner.State{{Instance: "a", Service: "briefing"}},
			wants:  []planner.Step{step("a", driver.VerbLoad, "v2", "")},
		},
		"as wanted": {
			states: []planner.State{{Instance: "a", Service: "briefing", Models: []string{"forecast@v2"}}},
		},
		"old version stays until the new one is there": {
			states: []planner.State{{Instance: "a", Service: "briefing", Models: []string{"forecast@v1"}}},
			wants:  []planner.Step{step("a", driver.VerbLoad, "v2", "")},
		},
		"old version leaves after": {
			states: []planner.State{{Instance: "a", Service: "briefing", Models: []string{"forecast@v1", "forecast@v2"}}},
			wants:  []planner.Step{step("a", driver.VerbUnload, "v1", "")},
		},
		"loads come before unloads": {
			states: []planner.State{
				{Instance: "a", Service: "briefing", Models: []string{"forecast@v1", "forecast@v2"}},
				{Instance: "b", Service: "notice"},
			},
			wants: []planner.Step{step("b", driver.VerbLoad, "v2", "school"), step("a", driver.VerbUnload, "v1", "")},
		},
		"plain and unknown services get no orders": {
			states: []planner.State{{Instance: "a", Service: "order"}, {Instance: "b", Service: "gone"}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			steps := planner.Plan(index, scenario.states)
			require.Len(t, steps, len(scenario.wants))

			for position, want := range scenario.wants {
				require.Equal(t, want, steps[position])
			}
		})
	}
}
