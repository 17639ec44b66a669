package handler

import (
	"net/http"
	"net/url"
	"slices"
	"strings"

	"limpetrail/dispatcher"
	"limpetrail/editor"
)

// callPrefix marks the request IDs of plain services.
const callPrefix = "call-"

// callService passes a call on to a plain service.
func (inference *Inference) callService(writer http.ResponseWriter, request *http.Request) {
	arrival := inference.arrive(writer, request, callPrefix+dispatcher.NewRequestID())
	key := arrival.key()
	call := arrival.call(inference.Publisher.Current().Index, editor.ServiceKindPlain, "service", request.PathValue("service"))
	call.Path = arrival.servicePath()
	call.Body = arrival.body()

	if arrival.refused() {
		return
	}

	inference.run(request.Context(), call, key, &serviceSink{writer: writer})
}

// servicePath returns the path and query at the backend server.
func (arrival *arrival) servicePath() string {
	path := "/" + arrival.request.PathValue("path")
	if slices.Contains(strings.Split(path, "/"), "..") {
		arrival.fault(http.StatusBadRequest, "path", path, "leave out segments that are ..")
	}

	target := url.URL{Path: path, RawQuery: arrival.request.URL.RawQuery}

	return target.String()
}
