package matcher

import (
	"cmp"
	"slices"
	"strings"
)

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
