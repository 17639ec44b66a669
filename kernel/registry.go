package kernel

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/juju/errors"
)

// Registry maps names to plug-ins of one kind. Plug-ins add themselves from
// an init function of their package; importing the package is enough.
type Registry[T any] struct {
	// Kind names what is registered, for messages.
	Kind string

	mutex   sync.RWMutex
	entries map[string]T
}

// NewRegistry returns an empty registry for plug-ins of the given kind.
func NewRegistry[T any](kind string) *Registry[T] {
	return &Registry[T]{Kind: kind, entries: map[string]T{}}
}

// Register adds a plug-in. A name that is taken already is a programming
// error and panics.
func (registry *Registry[T]) Register(name string, plugin T) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()

	if _, taken := registry.entries[name]; taken {
		panic("kernel: " + registry.Kind + " " + name + " registered twice")
	}

	registry.entries[name] = plugin
}

// Find returns the plug-in of that name, or a NotFound error that lists the
// names there are.
func (registry *Registry[T]) Find(name string) (T, error) {
	registry.mutex.RLock()
	defer registry.mutex.RUnlock()

	plugin, found := registry.entries[name]
	if !found {
		return plugin, errors.NotFoundf("%s %q (registered: %s)", registry.Kind, name, strings.Join(registry.sortedNames(), ", "))
	}

	return plugin, nil
}

// Names lists the registered names in order.
func (registry *Registry[T]) Names() []string {
	registry.mutex.RLock()
	defer registry.mutex.RUnlock()

	return registry.sortedNames()
}

func (registry *Registry[T]) sortedNames() []string {
	return slices.Sorted(maps.Keys(registry.entries))
}
