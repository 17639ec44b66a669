package handler

import (
	"net/http"
	"slices"
	"strings"

	"limpetrail/classifier"
)

// refuseUnknownRoute answers requests that match no route: with 405 if the path
// accepts other methods, else with 404.
func refuseUnknownRoute(mux *http.ServeMux) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		status := http.StatusNotFound
		fault := classifier.Fault{Field: "path", Value: truncate(request.URL.Path), Remedy: "see the page of the callers' interface for its paths"}

		if allowed := allowedMethods(mux, request); len(allowed) > 0 {
			status = http.StatusMethodNotAllowed
			list := strings.Join(allowed, ", ")
			fault = classifier.Fault{Field: "method", Value: truncate(request.Method), Remedy: "use " + list}
			writer.Header().Set("Allow", list)
		}

		problem := classifier.NewProblem(status, "", classifier.NewNotRun("nothing is served here", 0))
		problem.Faults = []classifier.Fault{fault}
		writeProblem(writer, problem)
	}
}

// allowedMethods returns the methods that have a route for the request's path.
func allowedMethods(mux *http.ServeMux, request *http.Request) []string {
	methods := []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete}

	return slices.DeleteFunc(methods, func(method string) bool {
		_, pattern := mux.Handler(&http.Request{Method: method, URL: request.URL, Host: request.Host})

		return pattern == "/"
	})
}
