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
	Claimer    *claimer.Claimer
}

var _ Routes = (*Inference)(nil)

// NewInference returns the routes of online requests.
func NewInference(common kernel.Common, calls *dispatcher.Dispatcher, documents *publisher.Publisher, claims *claimer.Claimer) *Inference {
	return &Inference{Common: common.ForPart("handler"), Dispatcher: calls, Publisher: documents, Claimer: claims}
}

// Register implements Routes.
func (inference *Inference) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/chat/completions", func(writer http.ResponseWriter, request *http.Request) {
		inference.complete(writer, request, shapeChat)
	})
	mux.HandleFunc("POST /v1/completions", func(writer http.ResponseWriter, request *http.Request) {
		inference.complete(writer, request, shapeText)
	})
	mux.HandleFunc("POST /v1/services/{service}/{path...}", inference.callService)
	mux.HandleFunc("GET /v1/requests/{id}", inference.readBack)
	mux.HandleFunc("/", refuseUnknownRoute(mux))
}

// sink writes an answer, or says why there is none.
type sink interface {
	dispatcher.Sink
	// refuse tells the caller of an outcome that is no answer.
	refuse(problem classifier.Problem)
}

// run takes an accepted call to its end. Only a keyed call that must not run
// twice needs a claim.
func (inference *Inference) run(ctx context.Context, call dispatcher.Call, key string, sink sink) {
	if key == "" || call.Idempotent {
		outcome := inference.Dispatcher.Do(ctx, call, sink)
		conclude(call.ID, claimer.Outcome{Outcome: outcome}, sink)

		return
	}

	conclude(call.ID, inference.Claimer.Do(ctx, call, key, sink), sink)
}

func conclude(id string, outcome claimer.Outcome, sink sink) {
	switch {
	case outcome.Fate == classifier.Answered:
	case outcome.Conflict:
		problem := classifier.NewProblem(http.StatusUnprocessableEntity, id, outcome.Outcome)
		problem.Faults = []classifier.Fault{{
			Field:  "Header " + IdempotencyKeyHeader,
			Remedy: "send the request that the key was first used with, or another key",
		}}
		sink.refuse(problem)
	case outcome.Fate == classifier.NotRun:
		sink.refuse(classifier.NewProblem(http.StatusServiceUnavailable, id, outcome.Outcome))
	default:
		sink.refuse(classifier.NewProblem(http.StatusBadGateway, id, outcome.Outcome))
	}
}
