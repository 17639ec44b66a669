package handler

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	"limpetrail/classifier"
	"limpetrail/dispatcher"
)

// maxIDBytes bounds the request IDs that are looked up.
const maxIDBytes = 200

// readBack sends an answer again, from an event on, and follows it while it
// still runs. Any entry can: the ID names the sidecar that has the answer.
func (inference *Inference) readBack(writer http.ResponseWriter, request *http.Request) {
	id := request.PathValue("id")
	if len(id) > maxIDBytes {
		refuseUnknownID(writer, shorten(id))

		return
	}

	arrival := inference.arrive(writer, request, id)
	// A fault of the reading says nothing about the request that is read.
	arrival.outcome = classifier.Lose("the reading is not valid", 0)
	arrival.workspace(inference.Publisher.Current().Index)
	offset := arrival.offset()

	if arrival.refused() {
		return
	}

	sink, found := inference.readBackSink(arrival, offset)
	if !found {
		refuseUnknownID(writer, id)

		return
	}

	ctx, cancel := context.WithTimeout(request.Context(), defaultDeadline)
	defer cancel()

	reading := inference.Dispatcher.ReadBack(ctx, dispatcher.ReadBack{AttemptID: id, Offset: offset}, sink)
	if reading.Fate != classifier.Answered {
		sink.refuse(classifier.NewProblem(readingStatus(reading), id, reading.Outcome))
	}
}

func refuseUnknownID(writer http.ResponseWriter, id string) {
	outcome := classifier.Lose("no answer is kept under this ID", 0)
	writeProblem(writer, classifier.NewProblem(http.StatusNotFound, id, outcome))
}

// readingStatus tells an answer that is gone from one that cannot be reached.
func readingStatus(reading dispatcher.Reading) int {
	switch {
	case !reading.Reached:
		return http.StatusServiceUnavailable
	case reading.Known:
		return http.StatusGone
	default:
		return http.StatusNotFound
	}
}

// offset returns the number of events that the caller has.
func (arrival *arrival) offset() uint64 {
	value := arrival.request.URL.Query().Get("offset")
	if value == "" {
		return 0
	}

	offset, err := strconv.ParseUint(value, 10, 32)
	if err != nil {
		arrival.fault(http.StatusBadRequest, "offset", value, "give the number of events received, 0 or more")
	}

	return offset
}

// readBackSink returns the sink in the form of the first answer, which the ID
// tells. Whether it is streamed is asked for anew.
func (inference *Inference) readBackSink(arrival *arrival, offset uint64) (sink, bool) {
	_, name, valid := dispatcher.SplitAttemptID(arrival.id)

	replica, found := inference.Dispatcher.Router.Find(name)
	if !valid || !found {
		return nil, false
	}

	if strings.HasPrefix(arrival.id, callPrefix) {
		return &serviceSink{writer: arrival.writer}, true
	}

	shape, found := shapeOf(arrival.id)
	if !found {
		return nil, false
	}

	wanted := completionRequest{
		Model:  replica.Service,
		Stream: strings.Contains(arrival.request.Header.Get("Accept"), eventStreamType),
	}
	sink := newCompletionSink(arrival.writer, shape, wanted)
	sink.tokens = int(offset)

	return sink, true
}
