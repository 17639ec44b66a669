package kernel

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/juju/errors"
)

// Registry maps names to plug-ins of one kind. Each plug-in registers itself in
// an init function, so importing its package is enough.
type Registry[T any] struct {
	// Kind is the kind of plug-in, as named in errors.
	Kind string

	mutex   sync.RWMutex
	entries map[string]T
}

// NewRegistry returns an empty registry for plug-ins of the given kind.
func NewRegistry[T any](kind string) *Registry[T] {
	return &Registry[T]{Kind: kind, entries: map[string]T{}}
}

// Register adds a plug-in. It panics if the name is registered already, which is
// a programming error.
func (registry *Registry[T]) Register(name string, plugin T) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()

	if _, found := registry.entries[name]; found {
		panic("kernel: " + registry.Kind + " " + name + " registered twice")
	}

	registry.entries[name] = plugin
}

// Find returns the plug-in of that name, or a NotFound error that lists the
// registered names.
func (registry *Registry[T]) Find(name string) (T, error) {
	registry.mutex.RLock()
	defer registry.mutex.RUnlock()

	plugin, found := registry.entries[name]
	if !found {
		return plugin, errors.NotFoundf("%s %q (registered: %s)", registry.Kind, name, strings.Join(registry.namesLocked(), ", "))
	}

	return plugin, nil
}

// Names returns the registered names, sorted.
func (registry *Registry[T]) Names() []string {
	registry.mutex.RLock()
	defer registry.mutex.RUnlock()

	return registry.namesLocked()
}

// namesLocked requires the mutex.
func (registry *Registry[T]) namesLocked() []string {
	return slices.Sorted(maps.Keys(registry.entries))
}
