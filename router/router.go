package router

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"

	"limpetrail/kernel"
)

// Router chooses replicas by service.
type Router struct {
	kernel.Common

	mutex    sync.Mutex
	replicas map[string][]Replica
	loads    map[string]Load
	random   *rand.Rand
}

// Option changes a Router at construction.
type Option func(*Router)

// WithSeed makes the choices repeatable.
func WithSeed(seed uint64) Option {
	return func(router *Router) { router.random = rand.New(rand.NewPCG(seed, seed)) }
}

// NewRouter returns a router that knows no replica yet.
func NewRouter(common kernel.Common, options ...Option) *Router {
	router := &Router{
		Common:   common.ForPart("router"),
		replicas: map[string][]Replica{},
		loads:    map[string]Load{},
		random:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	for _, option := range options {
		option(router)
	}

	return router
}

// Update replaces the replicas by the platform's present list.
func (router *Router) Update(replicas []Replica) {
	router.mutex.Lock()
	defer router.mutex.Unlock()

	router.replicas = map[string][]Replica{}
	for _, replica := range replicas {
		router.replicas[replica.Service] = append(router.replicas[replica.Service], replica)
	}
}

// Pick returns a replica, or false when none is left.
func (router *Router) Pick(question Question) (Replica, bool) {
	router.mutex.Lock()
	defer router.mutex.Unlock()

	candidates := []Replica{}

	for _, replica := range router.replicas[question.Service] {
		if !replica.Leaving && !router.loads[replica.Name].Draining && !slices.Contains(question.Exclude, replica.Name) {
			candidates = append(candidates, replica)
		}
	}

	if len(candidates) == 0 {
		return Replica{}, false
	}

	return candidates[router.random.IntN(len(candidates))], true
}

// Find returns the replica of that name.
func (router *Router) Find(name string) (Replica, bool) {
	router.mutex.Lock()
	defer router.mutex.Unlock()

	for _, replicas := range router.replicas {
		for _, replica := range replicas {
			if replica.Name == name {
				return replica, true
			}
		}
	}

	return Replica{}, false
}

// Serves tells whether any replica, usable or not, serves the service.
func (router *Router) Serves(service string) bool {
	router.mutex.Lock()
	defer router.mutex.Unlock()

	return len(router.replicas[service]) > 0
}

// Report takes in what a sidecar said about itself on a frame.
func (router *Router) Report(name string, load Load) {
	router.mutex.Lock()
	defer router.mutex.Unlock()

	router.loads[name] = load
}

// Observe takes in how an attempt went.
func (router *Router) Observe(string, Result) {}

// Replicas returns every known replica in order of name.
func (router *Router) Replicas() []Replica {
	router.mutex.Lock()
	defer router.mutex.Unlock()

	all := []Replica{}
	for _, replicas := range router.replicas {
		all = append(all, replicas...)
	}

	slices.SortFunc(all, func(left, right Replica) int { return strings.Compare(left.Name, right.Name) })

	return all
}

// Load returns what the replica's sidecar last said about itself.
func (router *Router) Load(name string) Load {
	router.mutex.Lock()
	defer router.mutex.Unlock()

	return router.loads[name]
}
