package matcher

import (
	"cmp"
	"slices"
)

// hostRoutes is the index of a host's routes by prefix.
type hostRoutes struct {
	byPrefix index[*Route]
	// lengths holds the different lengths of the prefixes, the longest first.
	lengths []int
	// acceptsJobsWithoutKey is set if a batch route of the host is exempt from keys.
	acceptsJobsWithoutKey bool
}

// add adds a route. Of several routes with the same prefix the first one counts.
func (routes *hostRoutes) add(route *Route) {
	if route.Kind == Batch && route.KeyExempt {
		routes.acceptsJobsWithoutKey = true
	}

	if _, hidden := routes.byPrefix.find(route.Prefix); hidden {
		return
	}

	routes.byPrefix.add(route.Prefix, route)

	length := len(route.Prefix)
	if position, known := slices.BinarySearchFunc(routes.lengths, length, func(one, other int) int { return cmp.Compare(other, one) }); !known {
		routes.lengths = slices.Insert(routes.lengths, position, length)
	}
}

// match returns the route with the longest prefix of the path, or nil.
func (routes *hostRoutes) match(path string) *Route {
	for _, length := range routes.lengths {
		if length > len(path) {
			continue
		}

		if route, found := routes.byPrefix.find(path[:length]); found {
			return route
		}
	}

	return nil
}
