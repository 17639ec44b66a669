package inspector

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"limpetrail/matcher"
)

// ownPathPrefix is the path prefix that a gateway may answer itself, before any route.
const ownPathPrefix = "/limpetrail/"

// Inspect returns what is suspicious in a document, in the order of its routes.
func Inspect(document *matcher.Document) []Remark {
	return slices.Concat(
		inspectUnused(document),
		inspectRouteTargets(document),
		inspectLimits(document),
		inspectCaps(document),
	)
}

// inspectUnused returns the routes and services that never serve a request.
func inspectUnused(document *matcher.Document) []Remark {
	remarks, used := []Remark{}, map[string]bool{}
	first := map[string]*matcher.Route{}

	for index := range document.Routes {
		route := &document.Routes[index]
		entry := routeEntry(route)
		place := strings.ToLower(route.Host) + " " + route.Prefix

		if other := first[place]; other != nil {
			remarks = append(remarks, Remark{Unused, entry, fmt.Sprintf("It has the same host and prefix as %s; only one of them is used.", routeEntry(other)), "Remove one of them, or change its prefix."})
		} else {
			first[place] = route
		}

		if strings.Contains(route.Host, ":") {
			remarks = append(remarks, Remark{Unused, entry, "Its host contains a port, which is ignored in requests.", "Remove the port."})
		}

		if route.Prefix != "" && !strings.HasPrefix(route.Prefix, "/") {
			remarks = append(remarks, Remark{Unused, entry, "Its prefix does not begin with a slash, as all paths do.", "Add the slash."})
		}

		if route.KeyExempt && strings.HasPrefix(route.Prefix, ownPathPrefix) {
			remarks = append(remarks, Remark{Unused, entry, "Gateways answer requests below " + ownPathPrefix + " themselves; the exemption has no effect there.", "Exempt the batch routes of the host instead."})
		}

		for _, share := range route.Shares {
			used[share.Service] = true

			if _, known := document.Services[share.Service]; !known {
				remarks = append(remarks, Remark{Unused, entry, fmt.Sprintf("Its service %q is not among the services.", share.Service), "Add the service, or correct its name."})
			}
		}
	}

	for _, name := range slices.Sorted(maps.Keys(document.Services)) {
		if !used[name] {
			remarks = append(remarks, Remark{Unused, "service " + name, "No route leads to it.", "Add a route, or remove the service."})
		}
	}

	return remarks
}

// inspectRouteTargets returns the routes whose targets exceed their bounds.
func inspectRouteTargets(document *matcher.Document) []Remark {
	remarks := []Remark{}

	for index := range document.Routes {
		route := &document.Routes[index]

		if route.Timeout > 0 && route.LatencyTarget > route.Timeout {
			remarks = append(remarks, Remark{Contradictory, routeEntry(route), fmt.Sprintf("Its first-event target (%v) is above its timeout (%v).", route.LatencyTarget, route.Timeout), "Lower the target, or raise the timeout."})
		}

		if route.Expiry > 0 && route.CompletionTarget > route.Expiry {
			remarks = append(remarks, Remark{Contradictory, routeEntry(route), fmt.Sprintf("Its completion target (%v) is above its expiry (%v).", route.CompletionTarget, route.Expiry), "Lower the target, or raise the expiry."})
		}
	}

	return remarks
}

// inspectLimits returns the limits with which no request can be received.
func inspectLimits(document *matcher.Document) []Remark {
	if document.Limits.HeaderBytes > 0 {
		return nil
	}

	return []Remark{{Contradictory, "limits", "The header limit is 0, although every request has a header.", "Set the limit."}}
}

// inspectCaps returns the workspaces whose burst is less than one request.
func inspectCaps(document *matcher.Document) []Remark {
	remarks := []Remark{}

	for _, name := range slices.Sorted(maps.Keys(document.Workspaces)) {
		bounds := document.Workspaces[name].Cap
		if bounds.Limited() && bounds.Burst > 0 && bounds.Burst < 1 {
			remarks = append(remarks, Remark{Contradictory, "workspace " + name, fmt.Sprintf("Its burst of %v is less than one request and counts as 1.", bounds.Burst), "Set it to at least 1, or leave it out."})
		}
	}

	return remarks
}

// routeEntry names a route. Routes without a name are named by host and prefix.
func routeEntry(route *matcher.Route) string {
	if route.Name == "" {
		return "route " + route.Host + route.Prefix
	}

	return "route " + route.Name
}
