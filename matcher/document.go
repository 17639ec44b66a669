package matcher

import (
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
	workspaceByKey index[*Workspace]
	// routesByHost holds the routes by lower-case host.
	routesByHost index[*hostRoutes]
}

// NewDocument returns a document and indexes its routes by host and prefix.
func NewDocument(version int64, routes []Route, services map[string]Service, limits Limits) *Document {
	document := &Document{Version: version, Routes: routes, Services: services, Limits: limits}

	for index := range routes {
		route := &routes[index]
		host := strings.ToLower(route.Host)

		routesOfHost, known := document.routesByHost.find(host)
		if !known {
			routesOfHost = &hostRoutes{}
			document.routesByHost.add(host, routesOfHost)
		}

		routesOfHost.add(route)
	}

	return document
}

// SetWorkspaces sets the workspaces of a document that is not in force yet. An empty list, unlike
// none, means that no key is known.
func (document *Document) SetWorkspaces(workspaces []Workspace) {
	document.Workspaces, document.workspaceByKey = map[string]*Workspace{}, index[*Workspace]{}

	for index := range workspaces {
		workspace := &workspaces[index]
		document.Workspaces[workspace.Name] = workspace

		for _, key := range workspace.Keys {
			if document.WorkspaceOfKey(key) == nil {
				document.workspaceByKey.add(key, workspace)
			}
		}
	}
}

// RequiresKeys reports whether requests need a key, except on exempt routes.
func (document *Document) RequiresKeys() bool {
	return document.Workspaces != nil
}

// WorkspaceOfKey returns the workspace that holds the key, or nil.
func (document *Document) WorkspaceOfKey(key string) *Workspace {
	workspace, _ := document.workspaceByKey.find(key)

	return workspace
}

// Match returns the host's route with the longest prefix of the path, or nil. The
// host may include a port, which is ignored.
func (document *Document) Match(host, path string) *Route {
	if routes := document.routesOf(host); routes != nil {
		return routes.match(path)
	}

	return nil
}

// AcceptsJobsWithoutKey reports whether a batch route of the host serves requests without a key.
func (document *Document) AcceptsJobsWithoutKey(host string) bool {
	routes := document.routesOf(host)

	return routes != nil && routes.acceptsJobsWithoutKey
}

func (document *Document) routesOf(host string) *hostRoutes {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")

	routes, _ := document.routesByHost.find(host)

	return routes
}
