package surveyor

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"runtime"
	"time"

	"github.com/juju/errors"

	"limpetrail/editor"
	"limpetrail/emulator"
	"limpetrail/kernel"
	"limpetrail/locator"
	"limpetrail/publisher"
	"limpetrail/recorder"
	"limpetrail/router"
	"limpetrail/scheduler"
)

// fleetSizes are numbers of replicas or instances, up to twice the target.
var fleetSizes = []int{200, 800, 1600, 3200}

const (
	targetServices = 30

	// The iterations are the numbers of operations over which a cost is averaged.
	pickIterations     = 20000
	updateIterations   = 20
	documentIterations = 20
	eventIterations    = 200000
	listIterations     = 20
	indexIterations    = 20
)

// FleetSurveys returns the surveys of the state that a process holds about the fleet:
// replicas, instances, the document, job indexes and the time line.
func FleetSurveys() []Survey {
	return []Survey{
		{Name: "router, state", Unit: "replica", Sizes: fleetSizes, Measure: measureRouterMemory},
		{Name: "router, list changed", Unit: "replica", Sizes: fleetSizes, Measure: measureRouterUpdate},
		{Name: "router, decision with report", Unit: "replica", Sizes: fleetSizes, Measure: measureRouterPick},
		{Name: "instance list, changed", Unit: "instance", Sizes: fleetSizes, Measure: measureListRead(true)},
		{Name: "instance list, unchanged", Unit: "instance", Sizes: fleetSizes, Measure: measureListRead(false)},
		{Name: "document, taken in", Unit: "workspace", Sizes: []int{100, 400, 800, 1600}, Measure: measureDocumentUpdate},
		{Name: "jobs, one index record", Unit: "listed job", Sizes: []int{100, 400, 1600, 3200}, Measure: measureIndexRewrite},
		{Name: "time line, ring of events", Unit: "event", Sizes: []int{1000, 4000, 8000}, Measure: measureEventRing},
	}
}

func newReplicas(count int) []router.Replica {
	replicas := make([]router.Replica, count)
	for index := range replicas {
		replicas[index] = router.Replica{
			Name:       fmt.Sprintf("sidecar-%05d", index),
			Address:    fmt.Sprintf("10.%d.%d.%d:9081", index>>16, index>>8&255, index&255),
			DataCentre: fmt.Sprintf("dc-%d", index%8),
			Service:    fmt.Sprintf("service-%d", index%targetServices),
		}
	}

	return replicas
}

func newRouter(count int) *router.Router {
	replicaRouter := router.NewRouter(kernel.NewDiscardCommon("entry"))
	replicaRouter.Update(newReplicas(count))

	for _, replica := range newReplicas(count) {
		replicaRouter.ApplyLoad(replica.Name, router.Load{RunningOnline: 1, Limit: 16})
	}

	return replicaRouter
}

func measureRouterMemory(size int) (Cost, error) {
	before := memoryInUse()
	replicaRouter := newRouter(size)
	after := memoryInUse()

	runtime.KeepAlive(replicaRouter)

	return Cost{Bytes: after - before}, nil
}

func measureRouterUpdate(size int) (Cost, error) {
	replicaRouter := newRouter(size)
	allReplicas, fewerReplicas := newReplicas(size), newReplicas(size-1)
	removed := false

	return Cost{ProcessorTime: processorTimePerCall(updateIterations, func() {
		removed = !removed

		if removed {
			replicaRouter.Update(fewerReplicas)
		} else {
			replicaRouter.Update(allReplicas)
		}
	})}, nil
}

func measureRouterPick(size int) (Cost, error) {
	replicaRouter := newRouter(size)
	criteria := router.Criteria{Service: "service-1", PrefixKeys: []uint64{1}}
	load := router.Load{RunningOnline: 1, Limit: 16}

	return Cost{ProcessorTime: processorTimePerCall(pickIterations, func() {
		criteria.PrefixKeys[0] += 0x9e3779b97f4a7c15
		replica, _ := replicaRouter.Pick(criteria)
		replicaRouter.ApplyLoad(replica.Name, load)
		replicaRouter.RecordResult(replica.Name, router.ResultAnswered)
	})}, nil
}

// measureListRead measures one read of the instance list from the stand-in over
// loopback. If changed, each read is by a new client, which fetches the whole
// list; otherwise it is by a client that has the current list already.
func measureListRead(changed bool) func(size int) (Cost, error) {
	return func(size int) (Cost, error) {
		byteCounter := &countingHandler{handler: emulator.NewInstanceList(newInstances(size)...)}
		server := httptest.NewServer(byteCounter)

		defer server.Close()

		client := locator.NewHTTPList(server.Listener.Addr().String())
		_, lastErr := client.Instances(context.Background())
		byteCounter.bytes.Store(0)

		processor := processorTimePerCall(listIterations, func() {
			if changed {
				client = locator.NewHTTPList(server.Listener.Addr().String())
				defer client.Client.CloseIdleConnections()
			}

			if _, err := client.Instances(context.Background()); err != nil {
				lastErr = err
			}
		})

		return Cost{ProcessorTime: processor, Bytes: float64(byteCounter.bytes.Load()) / listIterations}, errors.Trace(lastErr)
	}
}

func newInstances(count int) []locator.Instance {
	instances := []locator.Instance{}
	for _, replica := range newReplicas(count) {
		instances = append(instances, locator.Instance{
			Name:       replica.Name,
			Address:    replica.Address,
			DataCentre: replica.DataCentre,
			Service:    replica.Service,
		})
	}

	return instances
}

// newDocument returns a document with the given number of workspaces, and the
// target's models and services.
func newDocument(workspaces int) *editor.Document {
	document := &editor.Document{}

	for index := range workspaces {
		firm := fmt.Sprintf("firm-%d", index%workspacesPerFirm)
		document.Workspaces = append(document.Workspaces, editor.Workspace{Name: fmt.Sprintf("workspace-%04d", index), Firm: firm})
	}

	for index := range targetServices {
		model := fmt.Sprintf("model-%d", index)
		document.Models = append(document.Models, editor.Model{
			Name:     model,
			Versions: []editor.Version{{Name: "v1", Weights: model + "-v1"}, {Name: "v2", Weights: model + "-v2"}},
		})
		document.Services = append(document.Services, editor.Service{
			Name: fmt.Sprintf("service-%d", index), Kind: editor.ServiceKindModel, Model: model, Version: "v2", Replicas: 53, Idempotent: true,
		})
	}

	return document
}

const workspacesPerFirm = 40

func measureDocumentUpdate(size int) (Cost, error) {
	encoded, err := json.Marshal(newDocument(size))
	if err != nil {
		return Cost{}, errors.Trace(err)
	}

	documentPublisher := publisher.NewPublisher(kernel.NewDiscardCommon("entry"), emulator.NewStore())
	revision := documentPublisher.Current().Revision
	before := memoryInUse()

	processor := processorTimePerCall(documentIterations, func() {
		revision++

		if _, applyErr := documentPublisher.ApplyUpdate(revision, encoded); applyErr != nil {
			err = applyErr
		}
	})

	after := memoryInUse()

	runtime.KeepAlive(documentPublisher)

	return Cost{ProcessorTime: processor, Bytes: after - before}, errors.Trace(err)
}

func measureEventRing(size int) (Cost, error) {
	before := memoryInUse()
	eventRecorder := recorder.NewRecorder("entry", recorder.WithCapacity(size))
	number := 0

	processor := processorTimePerCall(eventIterations, func() {
		number++

		eventRecorder.Record(recorder.Event{
			Part:      "dispatcher",
			Kind:      recorder.KindRouted,
			RequestID: fmt.Sprintf("%024d.sidecar-%05d", number, number%1600),
			Details:   []string{"Replica=sidecar-00001", fmt.Sprintf("Incarnation=%d", number)},
		})
	})

	after := memoryInUse()

	runtime.KeepAlive(eventRecorder)

	return Cost{ProcessorTime: processor, Bytes: after - before}, nil
}

// measureIndexRewrite measures one rewrite of an index record: decoding it,
// replacing one entry and encoding it again.
func measureIndexRewrite(size int) (Cost, error) {
	index := scheduler.Index{Writer: "entry-00001"}

	for number := range size {
		index.Jobs = append(index.Jobs, scheduler.IndexEntry{
			ID:    fmt.Sprintf("job-%032x", number),
			Firm:  "kilimanjaro",
			Mark:  fmt.Sprintf("%016x", number),
			Ended: time.Date(2026, time.December, 4, 6, 0, 0, number, time.UTC),
		})
	}

	encoded, err := json.Marshal(index)
	if err != nil {
		return Cost{}, errors.Trace(err)
	}

	processor := processorTimePerCall(indexIterations, func() {
		decoded := scheduler.Index{}
		if decodeErr := json.Unmarshal(encoded, &decoded); decodeErr != nil {
			err = decodeErr
		}

		if _, encodeErr := json.Marshal(decoded.With(decoded.Jobs[size/2])); encodeErr != nil {
			err = encodeErr
		}
	})

	return Cost{ProcessorTime: processor, Bytes: float64(len(encoded))}, errors.Trace(err)
}
