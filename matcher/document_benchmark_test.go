package matcher_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"limpetrail/matcher"
)

// largeDocument returns a document with workspaces of two keys, and routes on as many hosts as given.
func largeDocument(workspaces, routes, hosts int) *matcher.Document {
	rows := make([]matcher.Route, 0, routes)
	for number := range routes {
		rows = append(rows, matcher.Route{Host: fmt.Sprintf("host-%04d.example", number%hosts), Prefix: fmt.Sprintf("/service-%04d/v1/", number)})
	}

	tenants := make([]matcher.Workspace, 0, workspaces)
	for number := range workspaces {
		tenants = append(tenants, matcher.Workspace{Name: fmt.Sprintf("workspace-%04d", number), Keys: []string{fmt.Sprintf("ftimaj3nr26tta82%04d", number), fmt.Sprintf("thhkmgjqnirth5mg%04d", number)}})
	}

	document := matcher.NewDocument(1, rows, nil, matcher.Limits{})
	document.SetWorkspaces(tenants)

	return document
}

// A scan over the routes of a host made the decision about a call slower with each route.
func BenchmarkDecision(b *testing.B) {
	for _, size := range []struct{ workspaces, routes, hosts int }{{1, 1, 1}, {2000, 5000, 1}, {2000, 5000, 500}, {2000, 5000, 5000}} {
		document := largeDocument(size.workspaces, size.routes, size.hosts)
		number := size.routes - 1
		host, path := fmt.Sprintf("host-%04d.example", number%size.hosts), fmt.Sprintf("/service-%04d/v1/completions", number)
		key := fmt.Sprintf("thhkmgjqnirth5mg%04d", size.workspaces-1)

		b.Run(fmt.Sprintf("workspaces=%d/routes=%d/hosts=%d", size.workspaces, size.routes, size.hosts), func(b *testing.B) {
			b.ReportAllocs()

			for b.Loop() {
				if document.Match(host, path) == nil || document.WorkspaceOfKey(key) == nil {
					require.Fail(b, "the call matches nothing")
				}
			}
		})
	}
}
