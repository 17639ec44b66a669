package matcher

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind is what may be repeated of a route's requests.
type Kind int

// Kinds of routes.
const (
	// Once is a request that runs at most once.
	Once Kind = iota
	// Idempotent is a request that may run more than once.
	Idempotent
	// Stream is an answer of events; see Route.Resumable.
	Stream
	// Batch is a job of many items that run later.
	Batch
)

// String names the kind in logs and metrics.
func (kind Kind) String() string {
	return [...]string{"Once", "Idempotent", "Stream", "Batch"}[kind]
}

// Share is a service's part of a route's requests.
type Share struct {
	Service string
	// Weight is relative to the other shares of the route.
	Weight float64
}

// Route says where requests of a host and a path prefix go, and how.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Target is the time to the answer, of streams to the first event.
	Target time.Duration
	// GapTarget is the longest pause between events of an answer in time.
	GapTarget time.Duration
	// Priority is 0 for the most urgent requests.
	Priority int
	// Shares has at least one service.
	Shares []Share
	// Attempts is the most backend servers that a request may be sent to.
	Attempts int
	// Resumable streams go on elsewhere after the last event that was passed on.
	Resumable bool
	// Completion is how long after its submission a job is due.
	Completion time.Duration
	// Expiry is how long after its submission an item may be given up.
	Expiry time.Duration
}

// Repeatable tells whether the route's requests may run more than once.
func (route *Route) Repeatable() bool {
	return route.Kind == Idempotent || route.Kind == Batch || route.Kind == Stream && route.Resumable
}

// Service is a group of backend servers that are alike.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is accepted by each backend server from all callers.
	MaxConnections int
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Document is one version of the configuration.
type Document struct {
	// Version rises with each change.
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   Limits

	// hosts holds the routes of each host, the longest prefix first.
	hosts map[string][]*Route
}

// NewDocument returns a document with its routes indexed.
func NewDocument(version int64, routes []Route, services map[string]Service, limits Limits) *Document {
	document := &Document{Version: version, Routes: routes, Services: services, Limits: limits, hosts: map[string][]*Route{}}

	for index := range routes {
		route := &routes[index]
		host := strings.ToLower(route.Host)
		document.hosts[host] = append(document.hosts[host], route)
	}

	for _, found := range document.hosts {
		slices.SortFunc(found, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}

	return document
}

// Match returns the route with the longest prefix of the path, or nil. The
// host may have a port.
func (document *Document) Match(host, path string) *Route {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")

	for _, route := range document.hosts[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}

	return nil
}

// Pick returns the service at a point of the route's shares, 0 up to 1.
func (route *Route) Pick(point float64) string {
	total := 0.0
	for _, share := range route.Shares {
		total += share.Weight
	}

	point *= total

	for _, share := range route.Shares {
		if point < share.Weight {
			return share.Service
		}

		point -= share.Weight
	}

	return route.Shares[len(route.Shares)-1].Service
}
