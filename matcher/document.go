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
	// Workspaces holds the workspaces by name. It is nil if the configuration has none, and
	// then requests need no key.
	Workspaces map[string]*Workspace

	// workspaceByKey holds the workspaces by key.
	workspaceByKey map[string]*Workspace
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

// SetWorkspaces sets the workspaces of a document that is not in force yet. An empty list, unlike
// none, means that no key is known.
func (document *Document) SetWorkspaces(workspaces []Workspace) {
	document.Workspaces, document.workspaceByKey = map[string]*Workspace{}, map[string]*Workspace{}

	for index := range workspaces {
		workspace := &workspaces[index]
		document.Workspaces[workspace.Name] = workspace

		for _, key := range workspace.Keys {
			document.workspaceByKey[key] = workspace
		}
	}
}

// RequiresKeys reports whether requests need a key, except on exempt routes.
func (document *Document) RequiresKeys() bool {
	return document.Workspaces != nil
}

// WorkspaceOfKey returns the workspace that holds the key, or nil.
func (document *Document) WorkspaceOfKey(key string) *Workspace {
	return document.workspaceByKey[key]
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
