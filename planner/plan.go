package planner

import (
	"slices"
	"strings"

	"limpetrail/driver"
	"limpetrail/editor"
)

// ReplicaState is what a replica reported in the current round.
type ReplicaState struct {
	Instance string
	Service  string
	// Models lists what its engine has loaded, as model@version or
	// model@version+adapter.
	Models []string
}

// ReplicaOrder is an order and the replica that it is for.
type ReplicaOrder struct {
	Instance string
	Order    driver.Order
}

// Plan returns the orders that make each replica load what the document asks
// for: first all loads, then all unloads, each in the order of states. An old
// version is unloaded only at a replica that has loaded the wanted one, so that
// no replica is left without a version to serve.
func Plan(index *editor.Index, states []ReplicaState) []ReplicaOrder {
	loads, unloads := []ReplicaOrder{}, []ReplicaOrder{}

	for _, state := range states {
		service, found := index.Service(state.Service)
		if !found || service.Kind != editor.ServiceKindModel {
			continue
		}

		wanted := LoadedModel{Model: service.Model, Version: service.Version, Adapter: service.Adapter}
		if !slices.Contains(state.Models, wanted.String()) {
			loads = append(loads, wanted.orderFor(state.Instance, driver.VerbLoad))

			continue
		}

		for _, text := range state.Models {
			if loaded := ParseLoadedModel(text); loaded != wanted && loaded.Model == wanted.Model {
				unloads = append(unloads, loaded.orderFor(state.Instance, driver.VerbUnload))
			}
		}
	}

	return append(loads, unloads...)
}

// LoadedModel is a model version, with or without an adapter, that an engine
// has loaded.
type LoadedModel struct {
	Model   string
	Version string
	Adapter string
}

// ParseLoadedModel parses the format that String returns.
func ParseLoadedModel(text string) LoadedModel {
	model, rest, _ := strings.Cut(text, "@")
	version, adapter, _ := strings.Cut(rest, "+")

	return LoadedModel{Model: model, Version: version, Adapter: adapter}
}

// String returns model@version or model@version+adapter.
func (loaded LoadedModel) String() string {
	text := loaded.Model + "@" + loaded.Version
	if loaded.Adapter != "" {
		text += "+" + loaded.Adapter
	}

	return text
}

func (loaded LoadedModel) orderFor(instance string, verb driver.Verb) ReplicaOrder {
	return ReplicaOrder{Instance: instance, Order: driver.Order{
		Verb:    verb,
		Model:   loaded.Model,
		Version: loaded.Version,
		Adapter: loaded.Adapter,
	}}
}
