package handler

import (
	"net/http"
	"path"
	"strings"

	"limpetrail/classifier"
)

// RefuseUncleanPaths answers requests whose path has empty, "." or ".."
// segments. The mux would redirect them, and few clients repeat a POST.
func RefuseUncleanPaths(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if cleanPath(request.URL.Path) {
			next.ServeHTTP(writer, request)

			return
		}

		problem := classifier.NewProblem(http.StatusBadRequest, "", classifier.Refuse("the path is not valid", 0))
		problem.Faults = []classifier.Fault{{
			Field: "path", Value: shorten(request.URL.Path), Remedy: `send a path without empty, "." and ".." segments`,
		}}
		writeProblem(writer, problem)
	})
}

func cleanPath(given string) bool {
	return path.Clean(given) == given || given != "/" && path.Clean(given) == strings.TrimSuffix(given, "/")
}
