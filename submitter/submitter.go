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

// PlainPrefix begins the path of a plain service's calls; the service's name
// follows.
const PlainPrefix = "/v1/services/"

// IdempotencyKeyHeader carries the client's key of a job.
const IdempotencyKeyHeader = "Idempotency-Key"

// retryAfter is when to come back after the key-value service gave no answer.
const retryAfter = 5 * time.Second

// Canceller tells the owner of a job about its cancellation.
type Canceller interface {
	// Tell reaches every entry that may own the job, as far as it can.
	Tell(ctx context.Context, jobID string, recorded bool)
}

// Submitter is the routes of batch jobs.
type Submitter struct {
	kernel.Common
	Settings  Settings
	Ledger    *scheduler.Ledger
	Bulk      scheduler.Bulk
	Publisher *publisher.Publisher
	Canceller Canceller
}

var _ handler.Routes = (*Submitter)(nil)

// Option changes a Submitter at construction.
type Option func(*Submitter)

// WithSettings sets the bounds.
func WithSettings(settings Settings) Option {
	return func(submitter *Submitter) { submitter.Settings = settings }
}

// NewSubmitter returns the routes of batch jobs.
func NewSubmitter(common kernel.Common, ledger *scheduler.Ledger, bulk scheduler.Bulk, documents *publisher.Publisher, canceller Canceller, options ...Option) *Submitter {
	submitter := &Submitter{
		Common:    common.ForPart("submitter"),
		Settings:  DefaultSettings(),
		Ledger:    ledger,
		Bulk:      bulk,
		Publisher: documents,
		Canceller: canceller,
	}
	for _, option := range options {
		option(submitter)
	}

	return submitter
}

// Register implements handler.Routes.
func (submitter *Submitter) Register(mux *http.ServeMux) {
	routes := map[string]action{
		"POST /v1/files":               submitter.upload,
		"GET /v1/files/{id}":           submitter.showFile,
		"GET /v1/files/{id}/content":   submitter.fileContent,
		"POST /v1/batches":             submitter.create,
		"GET /v1/batches":              submitter.list,
		"GET /v1/batches/{id}":         submitter.show,
		"GET /v1/batches/{id}/results": submitter.results,
		"POST /v1/batches/{id}/cancel": submitter.cancel,
	}
	for pattern, act := range routes {
		mux.HandleFunc(pattern, func(writer http.ResponseWriter, request *http.Request) {
			submitter.serve(writer, request, act)
		})
	}
}

// action answers one request of a workspace. An error has not been answered.
type action func(writer http.ResponseWriter, request *http.Request, workspace editor.Workspace) error

// serve finds the workspace and turns errors into problem documents.
func (submitter *Submitter) serve(writer http.ResponseWriter, request *http.Request, act action) {
	id := dispatcher.NewRequestID()
	writer.Header().Set(handler.RequestIDHeader, id)

	name := request.Header.Get(handler.WorkspaceHeader)
	workspace, found := submitter.Publisher.Current().Index.Workspace(name)

	if !found {
		refuse(writer, id, http.StatusForbidden, classifier.Fault{
			Field:  "Header " + handler.WorkspaceHeader,
			Value:  name,
			Remedy: "name a workspace of the document",
		})

		return
	}

	// A caller waits for the answer.
	request = request.WithContext(keeper.WithPriority(request.Context(), keeper.PriorityClaim))

	if err := act(writer, request, workspace); err != nil {
		submitter.fail(writer, id, err)
	}
}

// fail answers an error by its kind.
func (submitter *Submitter) fail(writer http.ResponseWriter, id string, err error) {
	var (
		invalid *faultsError
		storage *storageError
	)

	switch {
	case errors.As(err, &invalid):
		refuse(writer, id, invalid.status, invalid.faults...)
	case errors.Is(err, errors.NotFound):
		classifier.NewProblem(http.StatusNotFound, id, classifier.Refuse(err.Error(), 0)).Write(writer)
	case errors.Is(err, errors.AlreadyExists):
		classifier.NewProblem(http.StatusConflict, id, classifier.Refuse(err.Error(), 0)).Write(writer)
	case errors.As(err, &storage):
		classifier.NewProblem(http.StatusInsufficientStorage, id, classifier.Refuse(err.Error(), retryAfter)).Write(writer)
	case errors.Is(err, errors.NotYetAvailable):
		classifier.NewProblem(http.StatusServiceUnavailable, id, classifier.Refuse(err.Error(), retryAfter)).Write(writer)
	default:
		submitter.Log.WithError(err).Warn("A request about batch jobs was not served.")
		classifier.NewProblem(http.StatusServiceUnavailable, id, classifier.Lose(err.Error()+"; a resent request lands on the same job", retryAfter)).Write(writer)
	}
}

// faultsError is an input with faults.
type faultsError struct {
	status int
	faults []classifier.Fault
}

// Error implements error.
func (invalid *faultsError) Error() string { return "the request is not valid" }

// unavailable marks the failure of a read before anything was written, unless
// it says more already.
func unavailable(err error) error {
	if err == nil || errors.Is(err, errors.NotFound) {
		return errors.Trace(err)
	}

	return errors.NewNotYetAvailable(err, "nothing was done")
}

// storageError is the refusal of bulk data by its holders.
type storageError struct {
	cause error
}

// Error implements error.
func (storage *storageError) Error() string { return storage.cause.Error() }

func faulty(field, value, remedy string) error {
	return &faultsError{status: http.StatusBadRequest, faults: []classifier.Fault{{Field: field, Value: value, Remedy: remedy}}}
}

func refuse(writer http.ResponseWriter, id string, status int, faults ...classifier.Fault) {
	problem := classifier.NewProblem(status, id, classifier.Refuse("the request is not valid", 0))
	problem.Faults = faults
	problem.Write(writer)
}

func answer(writer http.ResponseWriter, value any) error {
	writer.Header().Set("Content-Type", "application/json")

	// The connection is the caller's; a failed write has no one left to tell.
	_ = json.NewEncoder(writer).Encode(value)

	return nil
}

// service returns the service of that name if the workspace may use it in a
// batch job, or what to do about it.
func (submitter *Submitter) service(name, endpoint string, workspace editor.Workspace) (editor.Service, string) {
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

// backendPath returns the path at the backend server of a job's endpoint.
func backendPath(endpoint string) string {
	rest, plain := strings.CutPrefix(endpoint, PlainPrefix)
	if !plain {
		return endpoint
	}

	_, path, _ := strings.Cut(rest, "/")

	return "/" + path
}
