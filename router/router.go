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
	// spillFactor and spillSlack bound the load of a prefix's home against the
	// better of two random replicas: beyond them the request spills.
	spillFactor = 1.5
	spillSlack  = 0.25
	// samples bounds the search for two random usable replicas before all are
	// looked at.
	samples = 8
	// maxEjectedShare is the largest share of a service's replicas that may be
	// ejected; beyond it the fault is probably not the replicas'.
	maxEjectedShare = 0.5
)

// Router chooses replicas by service.
type Router struct {
	kernel.Common

	// table is replaced as a whole by Update; readers take no lock.
	table  atomic.Pointer[table]
	random func(n int) int
	// ejections counts the ejected replicas of each service.
	mutex     sync.Mutex
	ejections map[string]map[string]bool
}

// table is the membership of every service and every replica by name.
type table struct {
	services map[string]*membership
	members  map[string]*member
}

// Option changes a Router at construction.
type Option func(*Router)

// WithSeed makes the choices repeatable.
func WithSeed(seed uint64) Option {
	return func(router *Router) {
		source := rand.New(rand.NewPCG(seed, seed))
		mutex := sync.Mutex{}
		router.random = func(n int) int {
			mutex.Lock()
			defer mutex.Unlock()

			return source.IntN(n)
		}
	}
}

// NewRouter returns a router that knows no replica yet.
func NewRouter(common kernel.Common, options ...Option) *Router {
	router := &Router{Common: common.ForPart("router"), random: rand.IntN, ejections: map[string]map[string]bool{}}
	router.table.Store(&table{services: map[string]*membership{}, members: map[string]*member{}})

	for _, option := range options {
		option(router)
	}

	return router
}

// Update replaces the replicas by the platform's present list. What is known
// about a replica that stays is kept.
func (router *Router) Update(replicas []Replica) {
	router.mutex.Lock()
	defer router.mutex.Unlock()

	old := router.table.Load()
	fresh := &table{services: map[string]*membership{}, members: map[string]*member{}}
	byService := map[string][]*member{}

	for _, replica := range replicas {
		known := old.members[replica.Name]
		if known == nil || known.replica != replica {
			known = carryOver(known, replica)
			delete(router.ejections[replica.Service], replica.Name)
		}

		fresh.members[replica.Name] = known
		byService[replica.Service] = append(byService[replica.Service], known)
	}

	for service, members := range byService {
		slices.SortFunc(members, func(left, right *member) int {
			return strings.Compare(left.replica.Name, right.replica.Name)
		})

		fresh.services[service] = reuse(old.services[service], members)
	}

	router.forget(fresh)
	router.table.Store(fresh)
}

// forget drops the ejections of replicas that are gone, with the mutex held.
func (router *Router) forget(fresh *table) {
	for _, names := range router.ejections {
		maps.DeleteFunc(names, func(name string, _ bool) bool { return fresh.members[name] == nil })
	}
}

// carryOver returns a member for a replica whose entry in the list changed. One
// at a new address is another process, about which nothing is known.
func carryOver(known *member, replica Replica) *member {
	changed := newMember(replica)
	if known == nil || known.replica.Address != replica.Address {
		return changed
	}

	changed.inflight.Store(known.inflight.Load())
	changed.reported.Store(known.reported.Load())

	return changed
}

// reuse keeps the slots of a service whose members' names did not change.
func reuse(old *membership, members []*member) *membership {
	if old == nil || !slices.EqualFunc(old.members, members, func(left, right *member) bool {
		return left.replica.Name == right.replica.Name
	}) {
		return newMembership(members)
	}

	return &membership{members: members, slots: old.slots}
}

// Pick returns a replica for one attempt, or false when none is left. Exactly
// one Observe follows for each replica picked.
func (router *Router) Pick(question Question) (Replica, bool) {
	service := router.table.Load().services[question.Service]
	if service == nil {
		return Replica{}, false
	}

	now := time.Now()

	chosen := router.choose(service, question, now)
	if chosen == nil {
		return Replica{}, false
	}

	chosen.inflight.Add(1)
	chosen.health.begin()

	return chosen.replica, true
}

// choose prefers the home of the prompt's longest prefix while its load stays
// within bounds of the better of two random replicas.
func (router *Router) choose(service *membership, question Question, now time.Time) *member {
	sampled := router.sample(service, question, now)
	if sampled == nil || len(question.PrefixKeys) == 0 {
		return sampled
	}

	bound := spillFactor*sampled.score(now) + spillSlack
	key := question.PrefixKeys[len(question.PrefixKeys)-1]

	for _, index := range service.homes(key) {
		home := service.members[index]
		if home.score(now) <= bound && router.usable(home, question, now) {
			return home
		}
	}

	return sampled
}

// sample returns the less loaded of two random usable replicas (Mitzenmacher,
// "The Power of Two Choices in Randomized Load Balancing", 2001). Where few
// are usable it looks at all.
func (router *Router) sample(service *membership, question Question, now time.Time) *member {
	var first *member

	for range samples {
		candidate := service.members[router.random(len(service.members))]
		if candidate == first || !router.usable(candidate, question, now) {
			continue
		}

		if first != nil {
			return less(first, candidate, now)
		}

		first = candidate
	}

	if first != nil {
		return first
	}

	return router.search(service, question, now)
}

// search looks at every replica, from a random one on. When all that are left
// are ejected, it returns one of those rather than none.
func (router *Router) search(service *membership, question Question, now time.Time) *member {
	var last *member

	start := router.random(len(service.members))

	for offset := range service.members {
		candidate := service.members[(start+offset)%len(service.members)]
		if router.usable(candidate, question, now) {
			return candidate
		}

		if open(candidate, question, now) {
			last = candidate
		}
	}

	return last
}

func less(left, right *member, now time.Time) *member {
	if right.score(now) < left.score(now) {
		return right
	}

	return left
}

// usable tells whether the replica may get this request.
func (router *Router) usable(candidate *member, question Question, now time.Time) bool {
	return open(candidate, question, now) && !candidate.health.ejected(now)
}

// open tells whether the replica takes new work and was not tried yet.
func open(candidate *member, question Question, now time.Time) bool {
	return !candidate.replica.Leaving && !candidate.draining(now) && !slices.Contains(question.Exclude, candidate.replica.Name)
}

// Find returns the replica of that name.
func (router *Router) Find(name string) (Replica, bool) {
	known := router.table.Load().members[name]
	if known == nil {
		return Replica{}, false
	}

	return known.replica, true
}

// Serves tells whether any replica, usable or not, serves the service.
func (router *Router) Serves(service string) bool {
	return router.table.Load().services[service] != nil
}

// Report takes in what a sidecar said about itself on a frame.
func (router *Router) Report(name string, load Load) {
	if known := router.table.Load().members[name]; known != nil {
		known.take(load, time.Now())
	}
}

// Observe takes in how the attempt of one Pick went.
func (router *Router) Observe(name string, result Result) {
	known := router.table.Load().members[name]
	if known == nil {
		return
	}

	known.leave()

	if result == ResultFailed && !router.mayEject(known) {
		return
	}

	if known.health.observe(result, time.Now()) {
		router.changed(known, result == ResultFailed)
	}
}

// mayEject tells whether the service can spare one more replica.
func (router *Router) mayEject(known *member) bool {
	router.mutex.Lock()
	defer router.mutex.Unlock()

	service := known.replica.Service
	if router.ejections[service][known.replica.Name] {
		return true
	}

	membership := router.table.Load().services[service]

	return membership != nil && float64(len(router.ejections[service])+1) <= maxEjectedShare*float64(len(membership.members))
}

// changed records that a replica was ejected or returned.
func (router *Router) changed(known *member, ejected bool) {
	router.mutex.Lock()
	defer router.mutex.Unlock()

	service, name := known.replica.Service, known.replica.Name
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

	router.Log.WithField("Replica", name).Infof("Replica %s.", strings.ToLower(string(kind)))
	router.Recorder.Record(recorder.Event{Part: "router", Kind: kind, Details: []string{"Replica=" + name}})
}

// Replicas returns every known replica in order of name.
func (router *Router) Replicas() []Replica {
	all := []Replica{}
	for _, known := range router.table.Load().members {
		all = append(all, known.replica)
	}

	slices.SortFunc(all, func(left, right Replica) int { return strings.Compare(left.Name, right.Name) })

	return all
}

// Load returns what the replica's sidecar last said about itself.
func (router *Router) Load(name string) Load {
	known := router.table.Load().members[name]
	if known == nil {
		return Load{}
	}

	last := known.reported.Load()
	if last == nil {
		return Load{}
	}

	return last.load
}
