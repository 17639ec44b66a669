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

// IdempotencyKeyHeader carries the caller's key for a request that it may retry
// (IETF draft-ietf-httpapi-idempotency-key-header).
const IdempotencyKeyHeader = "Idempotency-Key"

// maxKeyBytes is the maximum length of an idempotency key.
const maxKeyBytes = 255

// inboundRequest is a caller's request during validation. It collects all faults
// so that one response reports them together.
type inboundRequest struct {
	writer  http.ResponseWriter
	request *http.Request
	id      string
	faults  []classifier.Fault
	// status is the HTTP status of the first fault.
	status int
	// outcome is what a refusal reports about the request with this ID.
	outcome classifier.Outcome
}

// receive records the request under the ID and prepares its validation.
func (inference *Inference) receive(writer http.ResponseWriter, request *http.Request, id string) *inboundRequest {
	inference.Recorder.Record(recorder.Event{Part: "handler", Kind: recorder.KindReceived, RequestID: id})

	return &inboundRequest{
		writer:  writer,
		request: request,
		id:      id,
		outcome: classifier.NewNotRun("the request is not valid", 0),
	}
}

func (inbound *inboundRequest) addFault(status int, field, value, remedy string) {
	if inbound.status == 0 {
		inbound.status = status
	}

	inbound.faults = append(inbound.faults, classifier.Fault{Field: field, Value: truncate(value), Remedy: remedy})
}

// refuseIfInvalid answers with the faults and returns true if there are any.
func (inbound *inboundRequest) refuseIfInvalid() bool {
	if len(inbound.faults) == 0 {
		return false
	}

	problem := classifier.NewProblem(inbound.status, inbound.id, inbound.outcome)
	problem.Faults = inbound.faults
	writeProblem(inbound.writer, problem)

	return true
}

// readBody reads the whole body, up to the limit.
func (inbound *inboundRequest) readBody() []byte {
	requestBody := inbound.request.Body
	body, err := io.ReadAll(http.MaxBytesReader(inbound.writer, requestBody, maxBodyBytes))

	var tooLong *http.MaxBytesError

	switch {
	case errors.As(err, &tooLong):
		DiscardBody(inbound.writer, requestBody)
		inbound.addFault(http.StatusRequestEntityTooLarge, "body", "more than "+strconv.Itoa(maxBodyBytes)+" bytes", "send at most that many bytes")
	case err != nil:
		inbound.addFault(http.StatusBadRequest, "body", err.Error(), "send the whole body")
	}

	return body
}

// requireJSON checks the content type. A request without one is treated as JSON.
func (inbound *inboundRequest) requireJSON() {
	value := inbound.request.Header.Get("Content-Type")
	if value == "" {
		return
	}

	mediaType, _, err := mime.ParseMediaType(value)
	if err != nil || mediaType != "application/json" {
		inbound.addFault(http.StatusUnsupportedMediaType, "Header Content-Type", value, "send application/json")
	}
}

// findWorkspace returns the caller's workspace.
func (inbound *inboundRequest) findWorkspace(index *editor.Index) editor.Workspace {
	name := inbound.request.Header.Get(WorkspaceHeader)

	workspace, found := index.Workspace(name)
	if !found {
		inbound.addFault(http.StatusForbidden, "Header "+WorkspaceHeader, name, "name a workspace of the document")
	}

	return workspace
}

// newCall returns a call with the caller's and the service's properties from the
// document. A service of another firm is reported like an unknown one.
func (inbound *inboundRequest) newCall(index *editor.Index, kind editor.ServiceKind, field, service string) dispatcher.Call {
	workspace := inbound.findWorkspace(index)

	target, found := index.Service(service)
	if !found || target.Kind != kind || (target.Firm != "" && target.Firm != workspace.Firm) {
		inbound.addFault(http.StatusNotFound, field, service, "name a service of the kind "+string(kind)+" that the workspace's firm may use")
	}

	return dispatcher.Call{
		ID:         inbound.id,
		Firm:       workspace.Firm,
		Workspace:  workspace.Name,
		Service:    target.Name,
		Adapter:    target.Adapter,
		MediaType:  inbound.request.Header.Get("Content-Type"),
		Idempotent: target.Idempotent,
		Plain:      kind == editor.ServiceKindPlain,
		Deadline:   time.Now().Add(defaultDeadline),
	}
}

// idempotencyKey returns the idempotency key, or an empty string if the request
// has none. The draft specifies a quoted string; an unquoted one is accepted too.
func (inbound *inboundRequest) idempotencyKey() string {
	values, present := inbound.request.Header[IdempotencyKeyHeader]
	if !present {
		return ""
	}

	value := strings.Join(values, ", ")

	key := value
	if len(value) > 1 && strings.HasPrefix(value, `"`) && strings.HasSuffix(value, `"`) {
		key = value[1 : len(value)-1]
	}

	if key == "" || len(key) > maxKeyBytes || len(values) > 1 {
		inbound.addFault(http.StatusBadRequest, "Header "+IdempotencyKeyHeader, value, "send one key of 1 to "+strconv.Itoa(maxKeyBytes)+" bytes")
	}

	return key
}

// truncate limits the length of a caller's value that a refusal echoes.
func truncate(value string) string {
	const maxBytes = 100

	if len(value) <= maxBytes {
		return value
	}

	return strings.ToValidUTF8(value[:maxBytes], "") + "..."
}

// writeProblem sends a problem document, with the request's ID in a header.
func writeProblem(writer http.ResponseWriter, problem classifier.Problem) {
	if problem.RequestID != "" {
		writer.Header().Set(RequestIDHeader, problem.RequestID)
	}

	problem.Write(writer)
}
