package handler

import (
	"context"
	"net/http"
	"time"

	"limpetrail/claimer"
	"limpetrail/classifier"
	"limpetrail/dispatcher"
	"limpetrail/kernel"
	"limpetrail/publisher"
)

// WorkspaceHeader names the caller's workspace. The platform's load balancer
// authenticates the caller and sets it.
const WorkspaceHeader = "X-Limpetrail-Workspace"

const (
	maxBodyBytes = 4 << 20
	// defaultDeadline is the time limit of a call and of reading an answer back.
	defaultDeadline = 2 * time.Minute
)

// Inference serves online requests: model completions and calls of plain
// services.
type Inference struct {
	kernel.Common
	Dispatcher *dispatcher.Dispatcher
	Publisher  *publisher.Publisher
	Claimer    *claimer.Claimer
}

var _ Routes = (*Inference)(nil)

// NewInference returns the routes for online requests.
func NewInference(common kernel.Common, calls *dispatcher.Dispatcher, documents *publisher.Publisher, claims *claimer.Claimer) *Inference {
	return &Inference{Common: common.ForPart("handler"), Dispatcher: calls, Publisher: documents, Claimer: claims}
}

// Register implements Routes.
func (inference *Inference) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/chat/completions", func(writer http.ResponseWriter, request *http.Request) {
		inference.serveCompletion(writer, request, formatChat)
	})
	mux.HandleFunc("POST /v1/completions", func(writer http.ResponseWriter, request *http.Request) {
		inference.serveCompletion(writer, request, formatText)
	})
	mux.HandleFunc("POST /v1/services/{service}/{path...}", inference.callService)
	mux.HandleFunc("GET /v1/requests/{id}", inference.readBack)
	mux.HandleFunc("/", refuseUnknownRoute(mux))
}

// sink writes an answer to the caller, or a problem document if there is none.
type sink interface {
	dispatcher.Sink
	// fail reports a failed call to the caller.
	fail(problem classifier.Problem)
}

// dispatch runs a valid call and writes its outcome. Only a call with an
// idempotency key to a service that is not idempotent needs a claim.
func (inference *Inference) dispatch(ctx context.Context, call dispatcher.Call, key string, sink sink) {
	if key == "" || call.Idempotent {
		outcome := inference.Dispatcher.Do(ctx, call, sink)
		writeOutcome(call.ID, claimer.Outcome{Outcome: outcome}, sink)

		return
	}

	writeOutcome(call.ID, inference.Claimer.Do(ctx, call, key, sink), sink)
}

// writeOutcome reports the outcome, unless it is an answer, which the sink has
// written already.
func writeOutcome(id string, outcome claimer.Outcome, sink sink) {
	switch {
	case outcome.Fate == classifier.Answered:
	case outcome.Conflict:
		problem := classifier.NewProblem(http.StatusUnprocessableEntity, id, outcome.Outcome)
		problem.Faults = []classifier.Fault{{
			Field:  "Header " + IdempotencyKeyHeader,
			Remedy: "send the request that the key was first used with, or another key",
		}}
		sink.fail(problem)
	case outcome.Fate == classifier.NotRun:
		sink.fail(classifier.NewProblem(http.StatusServiceUnavailable, id, outcome.Outcome))
	default:
		sink.fail(classifier.NewProblem(http.StatusBadGateway, id, outcome.Outcome))
	}
}
