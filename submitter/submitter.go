package submitter

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"limpetrail/classifier"
	"limpetrail/dispatcher"
	"limpetrail/editor"
	"limpetrail/handler"
	"limpetrail/keeper"
	"limpetrail/kernel"
	"limpetrail/publisher"
	"limpetrail/scheduler"
)

// PlainPrefix is the prefix of the paths that call a plain service; the service's
// name follows.
const PlainPrefix = "/v1/services/"

// IdempotencyKeyHeader carries the key by which a client identifies a job, so that
// a resent submission returns the same job.
const IdempotencyKeyHeader = "Idempotency-Key"

// retryAfter is the Retry-After of answers to requests that failed because data
// could not be read or stored.
const retryAfter = 5 * time.Second

// Canceller notifies the owner of a job of its cancellation.
type Canceller interface {
	// NotifyCancel notifies every entry that may own the job, on a best-effort
	// basis. Recorded tells whether the cancellation is stored by now: the owner
	// only pauses the job until it is.
	NotifyCancel(ctx context.Context, jobID string, recorded bool)
}

// Submitter implements the HTTP routes of batch jobs.
type Submitter struct {
	kernel.Common
	Settings     Settings
	Ledger       *scheduler.Ledger
	SegmentStore scheduler.SegmentStore
	Publisher    *publisher.Publisher
	Canceller    Canceller
}

var _ handler.Routes = (*Submitter)(nil)

// Option configures a Submitter at construction.
type Option func(*Submitter)

// WithSettings sets the settings.
func WithSettings(settings Settings) Option {
	return func(submitter *Submitter) { submitter.Settings = settings }
}

// NewSubmitter returns a Submitter.
func NewSubmitter(common kernel.Common, ledger *scheduler.Ledger, segmentStore scheduler.SegmentStore, documentPublisher *publisher.Publisher, canceller Canceller, options ...Option) *Submitter {
	submitter := &Submitter{
		Common:       common.ForPart("submitter"),
		Settings:     DefaultSettings(),
		Ledger:       ledger,
		SegmentStore: segmentStore,
		Publisher:    documentPublisher,
		Canceller:    canceller,
	}
	for _, option := range options {
		option(submitter)
	}

	return submitter
}

// Register implements handler.Routes.
func (submitter *Submitter) Register(mux *http.ServeMux) {
	routes := map[string]routeHandler{
		"POST /v1/files":               submitter.upload,
		"GET /v1/files/{id}":           submitter.showFile,
		"GET /v1/files/{id}/content":   submitter.fileContent,
		"POST /v1/batches":             submitter.createJob,
		"GET /v1/batches":              submitter.listJobs,
		"GET /v1/batches/{id}":         submitter.showJob,
		"GET /v1/batches/{id}/results": submitter.jobResults,
		"POST /v1/batches/{id}/cancel": submitter.cancelJob,
	}
	for pattern, handle := range routes {
		mux.HandleFunc(pattern, func(writer http.ResponseWriter, request *http.Request) {
			submitter.serve(writer, request, handle)
		})
	}
}

// routeHandler answers one request of a workspace. If it returns an error it has not
// written an answer.
type routeHandler func(writer http.ResponseWriter, request *http.Request, workspace editor.Workspace) error

// serve looks up the request's workspace, calls the handler, and answers its errors
// with problem documents.
func (submitter *Submitter) serve(writer http.ResponseWriter, request *http.Request, handle routeHandler) {
	id := dispatcher.NewRequestID()
	writer.Header().Set(handler.RequestIDHeader, id)

	name := request.Header.Get(handler.WorkspaceHeader)
	workspace, found := submitter.Publisher.Current().Index.Workspace(name)

	if !found {
		writeInvalidInput(writer, id, http.StatusForbidden, classifier.Fault{
			Field:  "Header " + handler.WorkspaceHeader,
			Value:  name,
			Remedy: "name a workspace of the document",
		})

		return
	}

	// Calls to the key-value service get the highest priority, as a caller is waiting.
	request = request.WithContext(keeper.WithPriority(request.Context(), keeper.PriorityInteractive))

	if err := handle(writer, request, workspace); err != nil {
		submitter.writeError(writer, id, err)
	}
}

// writeError answers with the problem document for an error.
func (submitter *Submitter) writeError(writer http.ResponseWriter, id string, err error) {
	var (
		invalid *invalidInputError
		storage *storageError
	)

	switch {
	case errors.As(err, &invalid):
		writeInvalidInput(writer, id, invalid.status, invalid.faults...)
	case errors.Is(err, errors.NotFound):
		classifier.NewProblem(http.StatusNotFound, id, classifier.NewNotRun(err.Error(), 0)).Write(writer)
	case errors.Is(err, errors.AlreadyExists):
		classifier.NewProblem(http.StatusConflict, id, classifier.NewNotRun(err.Error(), 0)).Write(writer)
	case errors.As(err, &storage):
		classifier.NewProblem(http.StatusInsufficientStorage, id, classifier.NewNotRun(err.Error(), retryAfter)).Write(writer)
	case errors.Is(err, errors.NotYetAvailable):
		classifier.NewProblem(http.StatusServiceUnavailable, id, classifier.NewNotRun(err.Error(), retryAfter)).Write(writer)
	default:
		submitter.Log.WithError(err).Warn("A request to the batch job API failed.")
		classifier.NewProblem(http.StatusServiceUnavailable, id, classifier.NewMayHaveRun(err.Error()+"; a resent request lands on the same job", retryAfter)).Write(writer)
	}
}

// invalidInputError lists the faults of invalid input.
type invalidInputError struct {
	status int
	faults []classifier.Fault
}

// Error implements error.
func (invalid *invalidInputError) Error() string { return "the request is not valid" }

// notYetAvailable marks a failed read, before anything was written, as safe to
// repeat. NotFound errors are kept.
func notYetAvailable(err error) error {
	if err == nil || errors.Is(err, errors.NotFound) {
		return errors.Trace(err)
	}

	return errors.NewNotYetAvailable(err, "nothing was done")
}

// storageError means that a segment could not be stored at its holders.
type storageError struct {
	cause error
}

// Error implements error.
func (storage *storageError) Error() string { return storage.cause.Error() }

// newInvalidInputError returns an error with one fault.
func newInvalidInputError(field, value, remedy string) error {
	return &invalidInputError{status: http.StatusBadRequest, faults: []classifier.Fault{{Field: field, Value: value, Remedy: remedy}}}
}

func writeInvalidInput(writer http.ResponseWriter, id string, status int, faults ...classifier.Fault) {
	problem := classifier.NewProblem(status, id, classifier.NewNotRun("the request is not valid", 0))
	problem.Faults = faults
	problem.Write(writer)
}

func writeJSON(writer http.ResponseWriter, value any) error {
	writer.Header().Set("Content-Type", "application/json")

	// A failed write means that the caller is gone; there is nobody to report it to.
	_ = json.NewEncoder(writer).Encode(value)

	return nil
}

// findService returns the service with the given name if the workspace may call it
// at the endpoint in a batch job, or else a remedy for the caller.
func (submitter *Submitter) findService(name, endpoint string, workspace editor.Workspace) (editor.Service, string) {
	service, found := submitter.Publisher.Current().Index.Service(name)
	_, plain := strings.CutPrefix(endpoint, PlainPrefix)

	switch {
	case !found || (service.Firm != "" && service.Firm != workspace.Firm):
		return service, "name a service that the firm " + workspace.Firm + " may use"
	case plain != (service.Kind == editor.ServiceKindPlain):
		return service, "call a model by /v1/chat/completions or /v1/completions, a plain service by " + PlainPrefix
	case !plain && endpoint != "/v1/chat/completions" && endpoint != "/v1/completions":
		return service, "call a model by /v1/chat/completions or /v1/completions"
	default:
		return service, ""
	}
}

// backendPath returns the path at the backend server for a job's endpoint.
func backendPath(endpoint string) string {
	rest, plain := strings.CutPrefix(endpoint, PlainPrefix)
	if !plain {
		return endpoint
	}

	_, path, _ := strings.Cut(rest, "/")

	return "/" + path
}
