package handler

import (
	"net/http"
	"net/url"
	"slices"
	"strings"

	"limpetrail/dispatcher"
	"limpetrail/editor"
)

// serviceIDPrefix starts the request IDs of calls of plain services.
const serviceIDPrefix = "call-"

// callService validates a call of a plain service and runs it.
func (inference *Inference) callService(writer http.ResponseWriter, request *http.Request) {
	inbound := inference.receive(writer, request, serviceIDPrefix+dispatcher.NewRequestID())
	key := inbound.idempotencyKey()
	call := inbound.newCall(inference.Publisher.Current().Index, editor.ServiceKindPlain, "service", request.PathValue("service"))
	call.Path = inbound.servicePath()
	call.Body = inbound.readBody()

	if inbound.refuseIfInvalid() {
		return
	}

	inference.dispatch(request.Context(), call, key, &serviceSink{writer: writer})
}

// servicePath returns the path and query for the backend server.
func (inbound *inboundRequest) servicePath() string {
	path := "/" + inbound.request.PathValue("path")
	if slices.Contains(strings.Split(path, "/"), "..") {
		inbound.addFault(http.StatusBadRequest, "path", path, "leave out segments that are ..")
	}

	target := url.URL{Path: path, RawQuery: inbound.request.URL.RawQuery}

	return target.String()
}
