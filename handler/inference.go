package handler

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"limpetrail/classifier"
	"limpetrail/dispatcher"
	"limpetrail/editor"
	"limpetrail/kernel"
	"limpetrail/publisher"
	"limpetrail/recorder"
)

// WorkspaceHeader names the caller's workspace. The platform's balancer has
// authenticated the caller and sets it.
const WorkspaceHeader = "X-Limpetrail-Workspace"

const (
	maxBodyBytes    = 4 << 20
	defaultDeadline = 2 * time.Minute
)

// Inference serves model completions and plain services.
type Inference struct {
	kernel.Common
	Dispatcher *dispatcher.Dispatcher
	Publisher  *publisher.Publisher
}

var _ Routes = (*Inference)(nil)

// NewInference returns the routes of online requests.
func NewInference(common kernel.Common, calls *dispatcher.Dispatcher, documents *publisher.Publisher) *Inference {
	return &Inference{Common: common.ForPart("handler"), Dispatcher: calls, Publisher: documents}
}

// Register implements Routes.
func (inference *Inference) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/chat/completions", func(writer http.ResponseWriter, request *http.Request) {
		inference.complete(writer, request, shapeChat)
	})
	mux.HandleFunc("POST /v1/completions", func(writer http.ResponseWriter, request *http.Request) {
		inference.complete(writer, request, shapeText)
	})
}

// completionRequest is what the entry reads of a caller's body; the engine
// reads the rest.
type completionRequest struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
}

func (inference *Inference) complete(writer http.ResponseWriter, request *http.Request, shape shape) {
	id := dispatcher.NewRequestID()
	inference.Recorder.Record(recorder.Event{Part: "handler", Kind: recorder.KindReceived, RequestID: id})

	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxBodyBytes))
	if err != nil {
		classifier.NewProblem(http.StatusRequestEntityTooLarge, id, classifier.Refuse(err.Error(), 0)).Write(writer)

		return
	}

	wanted := completionRequest{}
	if err := json.Unmarshal(body, &wanted); err != nil {
		classifier.NewProblem(http.StatusBadRequest, id, classifier.Refuse("body is not JSON: "+err.Error(), 0)).Write(writer)

		return
	}

	call, problem := inference.call(request, id, wanted.Model)
	if problem != nil {
		problem.Write(writer)

		return
	}

	call.Path = request.URL.Path
	call.Body = body
	sink := newCompletionSink(writer, shape, wanted)
	outcome := inference.Dispatcher.Do(request.Context(), call, sink)
	sink.finish(id, outcome)
}

// call fills in what the document says about the caller and the service.
func (inference *Inference) call(request *http.Request, id, service string) (dispatcher.Call, *classifier.Problem) {
	index := inference.Publisher.Current().Index

	workspace, found := index.Workspace(request.Header.Get(WorkspaceHeader))
	if !found {
		return refuse(id, http.StatusForbidden, classifier.Fault{
			Field:  "Header " + WorkspaceHeader,
			Value:  request.Header.Get(WorkspaceHeader),
			Remedy: "name a workspace of the document",
		})
	}

	target, found := index.Service(service)
	if !found || (target.Firm != "" && target.Firm != workspace.Firm) {
		return refuse(id, http.StatusNotFound, classifier.Fault{
			Field:  "model",
			Value:  service,
			Remedy: "name a service that the firm " + workspace.Firm + " may use",
		})
	}

	return dispatcher.Call{
		ID:         id,
		Firm:       workspace.Firm,
		Workspace:  workspace.Name,
		Service:    target.Name,
		Adapter:    target.Adapter,
		MediaType:  request.Header.Get("Content-Type"),
		Idempotent: target.Idempotent,
		Plain:      target.Kind == editor.ServiceKindPlain,
		Deadline:   time.Now().Add(defaultDeadline),
	}, nil
}

func refuse(id string, status int, faults ...classifier.Fault) (dispatcher.Call, *classifier.Problem) {
	problem := classifier.NewProblem(status, id, classifier.Refuse("the request is not valid", 0))
	problem.Faults = faults

	return dispatcher.Call{}, &problem
}
