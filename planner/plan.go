package planner

import (
	"slices"
	"strings"

	"limpetrail/driver"
	"limpetrail/editor"
)

// State is one replica as the planner sees it.
type State struct {
	Instance string
	Service  string
	// Models lists what its engine has loaded, as model@version or
	// model@version+adapter.
	Models []string
}

// Step is one order for one replica.
type Step struct {
	Instance string
	Order    driver.Order
}

// Plan returns the orders that bring the replicas to what the document wants:
// loads first, in order of instance. An old version is unloaded only at a
// replica that has the wanted one, so the service is never without.
func Plan(index *editor.Index, states []State) []Step {
	loads, unloads := []Step{}, []Step{}

	for _, state := range states {
		service, found := index.Service(state.Service)
		if !found || service.Kind != editor.ServiceKindModel {
			continue
		}

		wanted := Loaded{Model: service.Model, Version: service.Version, Adapter: service.Adapter}
		if !slices.Contains(state.Models, wanted.String()) {
			loads = append(loads, wanted.step(state.Instance, driver.VerbLoad))

			continue
		}

		for _, text := range state.Models {
			if old := ParseLoaded(text); old != wanted && old.Model == wanted.Model {
				unloads = append(unloads, old.step(state.Instance, driver.VerbUnload))
			}
		}
	}

	return append(loads, unloads...)
}

// Loaded names one thing that an engine has loaded.
type Loaded struct {
	Model   string
	Version string
	Adapter string
}

// ParseLoaded reads the form of String.
func ParseLoaded(text string) Loaded {
	model, rest, _ := strings.Cut(text, "@")
	version, adapter, _ := strings.Cut(rest, "+")

	return Loaded{Model: model, Version: version, Adapter: adapter}
}

// String writes model@version or model@version+adapter.
func (loaded Loaded) String() string {
	text := loaded.Model + "@" + loaded.Version
	if loaded.Adapter != "" {
		text += "+" + loaded.Adapter
	}

	return text
}

func (loaded Loaded) step(instance string, verb driver.Verb) Step {
	return Step{Instance: instance, Order: driver.Order{
		Verb:    verb,
		Model:   loaded.Model,
		Version: loaded.Version,
		Adapter: loaded.Adapter,
	}}
}
