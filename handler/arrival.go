package handler

import (
	"io"
	"mime"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"limpetrail/classifier"
	"limpetrail/dispatcher"
	"limpetrail/editor"
	"limpetrail/recorder"
)

// IdempotencyKeyHeader carries the caller's key for a request that it may send
// again (IETF draft-ietf-httpapi-idempotency-key-header).
const IdempotencyKeyHeader = "Idempotency-Key"

const maxKeyBytes = 255

// arrival is a caller's request while it is checked. Its faults are collected,
// so that the caller hears of all of them at once.
type arrival struct {
	writer  http.ResponseWriter
	request *http.Request
	id      string
	faults  []classifier.Fault
	// status is that of the first fault.
	status int
	// outcome is what a refusal says about the request of the ID.
	outcome classifier.Outcome
}

// arrive records a request under a new ID.
func (inference *Inference) arrive(writer http.ResponseWriter, request *http.Request, id string) *arrival {
	inference.Recorder.Record(recorder.Event{Part: "handler", Kind: recorder.KindReceived, RequestID: id})

	return &arrival{
		writer:  writer,
		request: request,
		id:      id,
		outcome: classifier.Refuse("the request is not valid", 0),
	}
}

func (arrival *arrival) fault(status int, field, value, remedy string) {
	if arrival.status == 0 {
		arrival.status = status
	}

	arrival.faults = append(arrival.faults, classifier.Fault{Field: field, Value: shorten(value), Remedy: remedy})
}

// refused tells the caller of the faults, if there are any.
func (arrival *arrival) refused() bool {
	if len(arrival.faults) == 0 {
		return false
	}

	problem := classifier.NewProblem(arrival.status, arrival.id, arrival.outcome)
	problem.Faults = arrival.faults
	writeProblem(arrival.writer, problem)

	return true
}

// body reads the whole body.
func (arrival *arrival) body() []byte {
	whole := arrival.request.Body
	body, err := io.ReadAll(http.MaxBytesReader(arrival.writer, whole, maxBodyBytes))

	var tooLong *http.MaxBytesError

	switch {
	case errors.As(err, &tooLong):
		Drain(arrival.writer, whole)
		arrival.fault(http.StatusRequestEntityTooLarge, "body", "more than "+strconv.Itoa(maxBodyBytes)+" bytes", "send at most that many bytes")
	case err != nil:
		arrival.fault(http.StatusBadRequest, "body", err.Error(), "send the whole body")
	}

	return body
}

// wantJSON checks the content type; a request without one is taken for JSON.
func (arrival *arrival) wantJSON() {
	value := arrival.request.Header.Get("Content-Type")
	if value == "" {
		return
	}

	mediaType, _, err := mime.ParseMediaType(value)
	if err != nil || mediaType != "application/json" {
		arrival.fault(http.StatusUnsupportedMediaType, "Header Content-Type", value, "send application/json")
	}
}

// workspace returns the caller's workspace.
func (arrival *arrival) workspace(index *editor.Index) editor.Workspace {
	name := arrival.request.Header.Get(WorkspaceHeader)

	workspace, found := index.Workspace(name)
	if !found {
		arrival.fault(http.StatusForbidden, "Header "+WorkspaceHeader, name, "name a workspace of the document")
	}

	return workspace
}

// call fills in what the document says about the caller and the service. A
// service of another firm is as good as unknown.
func (arrival *arrival) call(index *editor.Index, kind editor.ServiceKind, field, service string) dispatcher.Call {
	workspace := arrival.workspace(index)

	target, found := index.Service(service)
	if !found || target.Kind != kind || (target.Firm != "" && target.Firm != workspace.Firm) {
		arrival.fault(http.StatusNotFound, field, service, "name a service of the kind "+string(kind)+" that the workspace's firm may use")
	}

	return dispatcher.Call{
		ID:         arrival.id,
		Firm:       workspace.Firm,
		Workspace:  workspace.Name,
		Service:    target.Name,
		Adapter:    target.Adapter,
		MediaType:  arrival.request.Header.Get("Content-Type"),
		Idempotent: target.Idempotent,
		Plain:      kind == editor.ServiceKindPlain,
		Deadline:   time.Now().Add(defaultDeadline),
	}
}

// key returns the idempotency key, or nothing when the request has none. The
// draft writes it as a quoted string; a bare one is taken too.
func (arrival *arrival) key() string {
	values, given := arrival.request.Header[IdempotencyKeyHeader]
	if !given {
		return ""
	}

	value := strings.Join(values, ", ")

	key := value
	if len(value) > 1 && strings.HasPrefix(value, `"`) && strings.HasSuffix(value, `"`) {
		key = value[1 : len(value)-1]
	}

	if key == "" || len(key) > maxKeyBytes || len(values) > 1 {
		arrival.fault(http.StatusBadRequest, "Header "+IdempotencyKeyHeader, value, "send one key of 1 to "+strconv.Itoa(maxKeyBytes)+" bytes")
	}

	return key
}

// shorten keeps a refusal from echoing a long value.
func shorten(value string) string {
	const limit = 100

	if len(value) <= limit {
		return value
	}

	return strings.ToValidUTF8(value[:limit], "") + "..."
}

// writeProblem sends a problem document with the request's ID.
func writeProblem(writer http.ResponseWriter, problem classifier.Problem) {
	if problem.RequestID != "" {
		writer.Header().Set(RequestIDHeader, problem.RequestID)
	}

	problem.Write(writer)
}
