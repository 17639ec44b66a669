package router

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"limpetrail/kernel"
	"limpetrail/recorder"
)

const (
	// spillFactor and spillSlack limit the score of a prefix's home relative to
	// that of the better of two random replicas. Beyond the limit the request
	// spills over to the latter.
	spillFactor = 1.5
	spillSlack  = 0.25
	// maxSamples is how many random replicas are tried to find two usable ones.
	maxSamples = 8
	// maxEjectedShare is the largest share of a service's replicas that may be
	// ejected. If more fail, the cause is probably not in the replicas.
	maxEjectedShare = 0.5
)

// Router chooses replicas by service.
type Router struct {
	kernel.Common

	// active is replaced as a whole by Update, so that readers need no lock.
	active atomic.Pointer[routingTable]
	random func(limit int) int
	// mutex guards ejections and serialises updates.
	mutex sync.Mutex
	// ejections holds the names of the ejected replicas of each service.
	ejections map[string]map[string]bool
}

// routingTable holds the replicas by service and their states by name.
type routingTable struct {
	services map[string]*replicaSet
	states   map[string]*replicaState
}

// Option configures a Router at construction.
type Option func(*Router)

// WithSeed makes the random choices reproducible.
func WithSeed(seed uint64) Option {
	return func(router *Router) {
		source := rand.New(rand.NewPCG(seed, seed))
		mutex := sync.Mutex{}
		router.random = func(limit int) int {
			mutex.Lock()
			defer mutex.Unlock()

			return source.IntN(limit)
		}
	}
}

// NewRouter returns a router without replicas.
func NewRouter(common kernel.Common, options ...Option) *Router {
	router := &Router{Common: common.ForPart("router"), random: rand.IntN, ejections: map[string]map[string]bool{}}
	router.active.Store(&routingTable{services: map[string]*replicaSet{}, states: map[string]*replicaState{}})

	for _, option := range options {
		option(router)
	}

	return router
}

// Update replaces the replicas with the platform's current list. The state of
// replicas that stay is kept.
func (router *Router) Update(replicas []Replica) {
	router.mutex.Lock()
	defer router.mutex.Unlock()

	current := router.active.Load()
	updated := &routingTable{services: map[string]*replicaSet{}, states: map[string]*replicaState{}}
	statesByService := map[string][]*replicaState{}

	for _, replica := range replicas {
		state := current.states[replica.Name]
		if state == nil || state.replica != replica {
			state = carryOver(state, replica)
			delete(router.ejections[replica.Service], replica.Name)
		}

		updated.states[replica.Name] = state
		statesByService[replica.Service] = append(statesByService[replica.Service], state)
	}

	for service, states := range statesByService {
		slices.SortFunc(states, func(left, right *replicaState) int {
			return strings.Compare(left.replica.Name, right.replica.Name)
		})

		updated.services[service] = reuseSlots(current.services[service], states)
	}

	router.pruneEjections(updated)
	router.active.Store(updated)
}

// pruneEjections drops the ejections of removed replicas. The caller holds the
// mutex.
func (router *Router) pruneEjections(updated *routingTable) {
	for _, names := range router.ejections {
		maps.DeleteFunc(names, func(name string, _ bool) bool { return updated.states[name] == nil })
	}
}

// carryOver returns the state of a replica whose listing changed. A replica at a
// new address is another process and starts without any state.
func carryOver(state *replicaState, replica Replica) *replicaState {
	changed := newReplicaState(replica)
	if state == nil || state.replica.Address != replica.Address {
		return changed
	}

	changed.inflight.Store(state.inflight.Load())
	changed.lastReport.Store(state.lastReport.Load())

	return changed
}

// reuseSlots returns a set of the states. It keeps the current set's slots if the
// replicas' names did not change.
func reuseSlots(current *replicaSet, states []*replicaState) *replicaSet {
	if current == nil || !slices.EqualFunc(current.replicas, states, func(left, right *replicaState) bool {
		return left.replica.Name == right.replica.Name
	}) {
		return newReplicaSet(states)
	}

	return &replicaSet{replicas: states, slots: current.slots}
}

// Pick returns a replica for one attempt, or false when none is left. The caller
// must call RecordResult exactly once for each replica picked.
func (router *Router) Pick(criteria Criteria) (Replica, bool) {
	set := router.active.Load().services[criteria.Service]
	if set == nil {
		return Replica{}, false
	}

	now := time.Now()

	chosen := router.choose(set, criteria, now)
	if chosen == nil {
		return Replica{}, false
	}

	chosen.inflight.Add(1)
	chosen.health.attemptStarted()

	return chosen.replica, true
}

// choose prefers a home of the prompt's longest prefix, as long as its score is
// within the spill limit of the better of two random replicas.
func (router *Router) choose(set *replicaSet, criteria Criteria, now time.Time) *replicaState {
	sampled := router.sample(set, criteria, now)
	if sampled == nil || len(criteria.PrefixKeys) == 0 {
		return sampled
	}

	maxScore := spillFactor*sampled.score(now) + spillSlack
	key := criteria.PrefixKeys[len(criteria.PrefixKeys)-1]

	for _, index := range set.homes(key) {
		home := set.replicas[index]
		if home.score(now) <= maxScore && router.usable(home, criteria, now) {
			return home
		}
	}

	return sampled
}

// sample returns the less loaded of two random usable replicas (Mitzenmacher,
// "The Power of Two Choices in Randomized Load Balancing", 2001). If none of
// the sampled replicas is usable, it scans all of them.
func (router *Router) sample(set *replicaSet, criteria Criteria, now time.Time) *replicaState {
	var first *replicaState

	for range maxSamples {
		candidate := set.replicas[router.random(len(set.replicas))]
		if candidate == first || !router.usable(candidate, criteria, now) {
			continue
		}

		if first != nil {
			return lessLoaded(first, candidate, now)
		}

		first = candidate
	}

	if first != nil {
		return first
	}

	return router.scan(set, criteria, now)
}

// scan returns the first usable replica, starting at a random one. When all
// that accept the attempt are ejected, it returns one of those rather than none.
func (router *Router) scan(set *replicaSet, criteria Criteria, now time.Time) *replicaState {
	var ejected *replicaState

	start := router.random(len(set.replicas))

	for offset := range set.replicas {
		candidate := set.replicas[(start+offset)%len(set.replicas)]
		if router.usable(candidate, criteria, now) {
			return candidate
		}

		if acceptsAttempt(candidate, criteria, now) {
			ejected = candidate
		}
	}

	return ejected
}

func lessLoaded(left, right *replicaState, now time.Time) *replicaState {
	if right.score(now) < left.score(now) {
		return right
	}

	return left
}

// usable reports whether the replica may get this attempt.
func (router *Router) usable(candidate *replicaState, criteria Criteria, now time.Time) bool {
	return acceptsAttempt(candidate, criteria, now) && !candidate.health.isEjected(now)
}

// acceptsAttempt reports whether the replica accepts new work and was not tried
// by this request yet. It ignores ejections.
func acceptsAttempt(candidate *replicaState, criteria Criteria, now time.Time) bool {
	return !candidate.replica.Leaving && !candidate.isDraining(now) && !slices.Contains(criteria.Exclude, candidate.replica.Name)
}

// Find returns the replica with that name, or false if none is listed.
func (router *Router) Find(name string) (Replica, bool) {
	state := router.active.Load().states[name]
	if state == nil {
		return Replica{}, false
	}

	return state.replica, true
}

// HasService reports whether any replica, usable or not, serves the service.
func (router *Router) HasService(service string) bool {
	return router.active.Load().services[service] != nil
}

// ApplyLoad stores a load that a replica's sidecar sent with a frame.
func (router *Router) ApplyLoad(name string, load Load) {
	if state := router.active.Load().states[name]; state != nil {
		state.applyLoad(load, time.Now())
	}
}

// RecordResult records the result of the attempt that followed one Pick.
func (router *Router) RecordResult(name string, result Result) {
	state := router.active.Load().states[name]
	if state == nil {
		return
	}

	state.attemptEnded()

	if result == ResultFailed && !router.canEject(state) {
		return
	}

	if state.health.recordResult(result, time.Now()) {
		router.recordEjection(state, result == ResultFailed)
	}
}

// canEject reports whether one more replica of the service may be ejected, see
// maxEjectedShare. A replica that is already ejected may be ejected again.
func (router *Router) canEject(state *replicaState) bool {
	router.mutex.Lock()
	defer router.mutex.Unlock()

	service := state.replica.Service
	if router.ejections[service][state.replica.Name] {
		return true
	}

	set := router.active.Load().services[service]

	return set != nil && float64(len(router.ejections[service])+1) <= maxEjectedShare*float64(len(set.replicas))
}

// recordEjection records and logs that a replica was ejected, or that it returned
// to routing.
func (router *Router) recordEjection(state *replicaState, ejected bool) {
	router.mutex.Lock()
	defer router.mutex.Unlock()

	service, name := state.replica.Service, state.replica.Name
	kind := recorder.KindReturned

	if ejected {
		kind = recorder.KindEjected

		if router.ejections[service] == nil {
			router.ejections[service] = map[string]bool{}
		}

		router.ejections[service][name] = true
	} else {
		delete(router.ejections[service], name)
	}

	router.Log.WithField("Replica", name).Infof("Outlier detection: replica %s.", strings.ToLower(string(kind)))
	router.Recorder.Record(recorder.Event{Part: "router", Kind: kind, Details: []string{"Replica=" + name}})
}

// Replicas returns all listed replicas, sorted by name.
func (router *Router) Replicas() []Replica {
	list := []Replica{}
	for _, state := range router.active.Load().states {
		list = append(list, state.replica)
	}

	slices.SortFunc(list, func(left, right Replica) int { return strings.Compare(left.Name, right.Name) })

	return list
}

// LastLoad returns the latest load that the replica's sidecar sent, or a zero Load if
// there is none.
func (router *Router) LastLoad(name string) Load {
	state := router.active.Load().states[name]
	if state == nil {
		return Load{}
	}

	last := state.lastReport.Load()
	if last == nil {
		return Load{}
	}

	return last.load
}
