package observer

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"limpetrail/classifier"
	"limpetrail/dialer"
	"limpetrail/keeper"
	"limpetrail/kernel"
	"limpetrail/locator"
	"limpetrail/messenger"
	"limpetrail/publisher"
	"limpetrail/recorder"
	"limpetrail/router"
)

const (
	// queryTimeout limits the query to one instance. It is also the Retry-After of
	// the answer when the list of instances is unavailable.
	queryTimeout         = 2 * time.Second
	maxConcurrentQueries = 32
	// maxEvents is the most events that an answer contains.
	maxEvents = 1000
)

// Observer serves an entry's time line and status to operators.
type Observer struct {
	kernel.Common
	List      locator.List
	Dialer    *dialer.Dialer
	Publisher *publisher.Publisher
	Router    *router.Router
}

// NewObserver returns the observer of an entry.
func NewObserver(common kernel.Common, list locator.List, connections *dialer.Dialer, documents *publisher.Publisher, routes *router.Router) *Observer {
	return &Observer{Common: common.ForPart("observer"), List: list, Dialer: connections, Publisher: documents, Router: routes}
}

// Register adds the routes of the observer to a mux.
func (observer *Observer) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/timeline", observer.handleTimeLine)
	mux.HandleFunc("GET /v1/status", observer.handleStatus)
}

// TimeLine is the answer to a query for events.
type TimeLine struct {
	// Events are ordered by their stamps.
	Events []recorder.Event
	// Missing names the instances that gave no answer.
	Missing []string
}

// Status is the state that an entry routes requests by.
type Status struct {
	Instance   string
	DataCentre string
	// Revision is that of the document that the entry uses.
	Revision keeper.Revision
	Replicas []ReplicaStatus
}

// ReplicaStatus is an entry's view of one replica.
type ReplicaStatus struct {
	router.Replica
	Load router.Load
}

func (observer *Observer) handleTimeLine(writer http.ResponseWriter, request *http.Request) {
	limit, err := strconv.Atoi(request.URL.Query().Get("limit"))
	if err != nil || limit <= 0 {
		limit = maxEvents
	}

	query := recorder.Query{
		RequestID: request.URL.Query().Get("request"),
		JobID:     request.URL.Query().Get("job"),
		Limit:     min(limit, maxEvents),
	}

	merged, err := observer.CollectEvents(request.Context(), query)
	if err != nil {
		outcome := classifier.NewNotRun(err.Error(), queryTimeout)
		classifier.NewProblem(http.StatusServiceUnavailable, "", outcome).Write(writer)

		return
	}

	writeJSON(writer, merged)
}

// CollectEvents merges the matching events of every instance on the platform's
// list. Instances that do not answer in time are named in Missing.
func (observer *Observer) CollectEvents(ctx context.Context, query recorder.Query) (TimeLine, error) {
	instances, err := observer.List.Instances(ctx)
	if err != nil {
		return TimeLine{}, err
	}

	lists := make([][]recorder.Event, len(instances))
	failed := make([]bool, len(instances))
	group := errgroup.Group{}
	group.SetLimit(maxConcurrentQueries)

	for index, instance := range instances {
		group.Go(func() error {
			var err error

			lists[index], err = observer.instanceEvents(ctx, instance, query)
			failed[index] = err != nil

			return nil
		})
	}

	// No function returns an error: instances that failed are listed in Missing.
	_ = group.Wait()

	answer := TimeLine{Events: recorder.Merge(lists...)}
	if len(answer.Events) > query.Limit {
		answer.Events = answer.Events[len(answer.Events)-query.Limit:]
	}

	for index, instance := range instances {
		if failed[index] {
			answer.Missing = append(answer.Missing, instance.Name)
		}
	}

	return answer, nil
}

func (observer *Observer) instanceEvents(ctx context.Context, instance locator.Instance, query recorder.Query) ([]recorder.Event, error) {
	if instance.Name == observer.Instance {
		return observer.Recorder.Find(query), nil
	}

	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()

	conn := observer.Dialer.Pooled(ctx, instance.Address)
	defer conn.Close()

	reply, err := messenger.NewDRPCTimeLineClient(conn).Events(ctx, &messenger.EventsRequest{
		Clock:     uint64(observer.Recorder.Clock.Now()),
		RequestId: query.RequestID,
		JobId:     query.JobID,
		Limit:     uint32(query.Limit),
	})
	if err != nil {
		return nil, err
	}

	events := make([]recorder.Event, 0, len(reply.GetEvents()))
	for _, event := range reply.GetEvents() {
		events = append(events, event.ToRecorderEvent())
	}

	return events, nil
}

func (observer *Observer) handleStatus(writer http.ResponseWriter, _ *http.Request) {
	status := Status{
		Instance:   observer.Instance,
		DataCentre: observer.DataCentre,
		Revision:   observer.Publisher.Current().Revision,
	}

	for _, replica := range observer.Router.Replicas() {
		status.Replicas = append(status.Replicas, ReplicaStatus{Replica: replica, Load: observer.Router.LastLoad(replica.Name)})
	}

	writeJSON(writer, status)
}

func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	// A failed write means that the operator's connection is lost, so the error
	// cannot be reported to anyone.
	_ = json.NewEncoder(writer).Encode(value)
}
