package handler

import (
	"net/http"
	"path"
	"strings"

	"limpetrail/classifier"
)

// RefuseUncleanPaths refuses requests whose path has empty, "." or ".."
// segments. The mux would redirect them, and few clients repeat a POST after a
// redirect.
func RefuseUncleanPaths(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if isCleanPath(request.URL.Path) {
			next.ServeHTTP(writer, request)

			return
		}

		problem := classifier.NewProblem(http.StatusBadRequest, "", classifier.NewNotRun("the path is not valid", 0))
		problem.Faults = []classifier.Fault{{
			Field: "path", Value: truncate(request.URL.Path), Remedy: `send a path without empty, "." and ".." segments`,
		}}
		writeProblem(writer, problem)
	})
}

// isCleanPath reports whether the path is clean, apart from a trailing slash.
func isCleanPath(target string) bool {
	return path.Clean(target) == target || target != "/" && path.Clean(target) == strings.TrimSuffix(target, "/")
}
