package handler

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	"limpetrail/classifier"
	"limpetrail/dispatcher"
)

// maxIDBytes is the maximum length of a request ID to look up.
const maxIDBytes = 200

// readBack sends an earlier answer again, starting at an event offset, and
// follows it while the request still runs. Any entry can serve this, because the
// request ID names the replica whose sidecar keeps the answer.
func (inference *Inference) readBack(writer http.ResponseWriter, request *http.Request) {
	id := request.PathValue("id")
	if len(id) > maxIDBytes {
		refuseUnknownID(writer, truncate(id))

		return
	}

	inbound := inference.receive(writer, request, id)
	// An invalid read request says nothing about the fate of the request that it
	// refers to.
	inbound.outcome = classifier.NewMayHaveRun("the reading is not valid", 0)
	inbound.findWorkspace(inference.Publisher.Current().Index)
	offset := inbound.parseOffset()

	if inbound.refuseIfInvalid() {
		return
	}

	sink, found := inference.readBackSink(inbound, offset)
	if !found {
		refuseUnknownID(writer, id)

		return
	}

	ctx, cancel := context.WithTimeout(request.Context(), defaultDeadline)
	defer cancel()

	result := inference.Dispatcher.ReadAnswer(ctx, dispatcher.ReadRequest{AttemptID: id, Offset: offset}, sink)
	if result.Fate != classifier.Answered {
		sink.fail(classifier.NewProblem(readBackStatus(result), id, result.Outcome))
	}
}

func refuseUnknownID(writer http.ResponseWriter, id string) {
	outcome := classifier.NewMayHaveRun("no answer is kept under this ID", 0)
	writeProblem(writer, classifier.NewProblem(http.StatusNotFound, id, outcome))
}

// readBackStatus returns the HTTP status for an answer that cannot be read back:
// the sidecar is unreachable, no longer has the answer, or does not know the ID.
func readBackStatus(result dispatcher.ReadResult) int {
	switch {
	case !result.Reached:
		return http.StatusServiceUnavailable
	case result.Known:
		return http.StatusGone
	default:
		return http.StatusNotFound
	}
}

// parseOffset returns the number of events that the caller has received already.
func (inbound *inboundRequest) parseOffset() uint64 {
	value := inbound.request.URL.Query().Get("offset")
	if value == "" {
		return 0
	}

	offset, err := strconv.ParseUint(value, 10, 32)
	if err != nil {
		inbound.addFault(http.StatusBadRequest, "offset", value, "give the number of events received, 0 or more")
	}

	return offset
}

// readBackSink returns a sink for the format of the original answer, which the ID
// encodes. Whether to stream is decided by the Accept header of the read request.
func (inference *Inference) readBackSink(inbound *inboundRequest, offset uint64) (sink, bool) {
	_, name, valid := dispatcher.SplitAttemptID(inbound.id)

	replica, found := inference.Dispatcher.Router.Find(name)
	if !valid || !found {
		return nil, false
	}

	if strings.HasPrefix(inbound.id, serviceIDPrefix) {
		return &serviceSink{writer: inbound.writer}, true
	}

	format, found := formatOf(inbound.id)
	if !found {
		return nil, false
	}

	parameters := completionParameters{
		Model:  replica.Service,
		Stream: strings.Contains(inbound.request.Header.Get("Accept"), eventStreamType),
	}
	sink := newCompletionSink(inbound.writer, format, parameters)
	sink.tokens = int(offset)

	return sink, true
}
