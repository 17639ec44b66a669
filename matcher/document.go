package matcher

import (
	"cmp"
	"slices"
	"strings"
)

// Document is one version of the configuration.
type Document struct {
	// Version increases with each change.
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   Limits

	// routesByHost holds the routes by lower-case host, the longest prefix first.
	routesByHost map[string][]*Route
}

// NewDocument returns a document and indexes its routes by host.
func NewDocument(version int64, routes []Route, services map[string]Service, limits Limits) *Document {
	document := &Document{Version: version, Routes: routes, Services: services, Limits: limits, routesByHost: map[string][]*Route{}}

	for index := range routes {
		route := &routes[index]
		host := strings.ToLower(route.Host)
		document.routesByHost[host] = append(document.routesByHost[host], route)
	}

	for _, hostRoutes := range document.routesByHost {
		slices.SortFunc(hostRoutes, func(left, right *Route) int { return cmp.Compare(len(right.Prefix), len(left.Prefix)) })
	}

	return document
}

// Match returns the host's route with the longest prefix of the path, or nil. The
// host may include a port, which is ignored.
func (document *Document) Match(host, path string) *Route {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")

	for _, route := range document.routesByHost[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}

	return nil
}
