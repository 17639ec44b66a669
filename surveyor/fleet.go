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

// fleetSizes are replicas or instances, up to twice the target.
var fleetSizes = []int{200, 800, 1600, 3200}

const (
	servicesAtTarget  = 30
	picksMeasured     = 20000
	updatesMeasured   = 20
	documentsMeasured = 20
	eventsMeasured    = 200000
	listsMeasured     = 20
	indexesMeasured   = 20
)

// Fleet returns the surveys of what every process knows about the fleet.
func Fleet() []Survey {
	return []Survey{
		{Name: "router, state", Per: "replica", Sizes: fleetSizes, Measure: routerState},
		{Name: "router, list changed", Per: "replica", Sizes: fleetSizes, Measure: routerUpdate},
		{Name: "router, decision with report", Per: "replica", Sizes: fleetSizes, Measure: routerDecision},
		{Name: "instance list, changed", Per: "instance", Sizes: fleetSizes, Measure: listRead(true)},
		{Name: "instance list, unchanged", Per: "instance", Sizes: fleetSizes, Measure: listRead(false)},
		{Name: "document, taken in", Per: "workspace", Sizes: []int{100, 400, 800, 1600}, Measure: documentTaken},
		{Name: "jobs, one index record", Per: "listed job", Sizes: []int{100, 400, 1600, 3200}, Measure: jobIndex},
		{Name: "time line, ring of events", Per: "event", Sizes: []int{1000, 4000, 8000}, Measure: events},
	}
}

func replicas(count int) []router.Replica {
	all := make([]router.Replica, count)
	for index := range all {
		all[index] = router.Replica{
			Name:       fmt.Sprintf("sidecar-%05d", index),
			Address:    fmt.Sprintf("10.%d.%d.%d:9081", index>>16, index>>8&255, index&255),
			DataCentre: fmt.Sprintf("dc-%d", index%8),
			Service:    fmt.Sprintf("service-%d", index%servicesAtTarget),
		}
	}

	return all
}

func newRouter(count int) *router.Router {
	routes := router.NewRouter(kernel.Discard("entry"))
	routes.Update(replicas(count))

	for _, replica := range replicas(count) {
		routes.ApplyLoad(replica.Name, router.Load{RunningOnline: 1, Limit: 16})
	}

	return routes
}

func routerState(size int) (Cost, error) {
	before := memory()
	routes := newRouter(size)
	after := memory()

	runtime.KeepAlive(routes)

	return Cost{Bytes: after - before}, nil
}

func routerUpdate(size int) (Cost, error) {
	routes := newRouter(size)
	full, less := replicas(size), replicas(size-1)
	short := false

	return Cost{Processor: repeated(updatesMeasured, func() {
		short = !short

		if short {
			routes.Update(less)
		} else {
			routes.Update(full)
		}
	})}, nil
}

func routerDecision(size int) (Cost, error) {
	routes := newRouter(size)
	question := router.Criteria{Service: "service-1", PrefixKeys: []uint64{1}}
	load := router.Load{RunningOnline: 1, Limit: 16}

	return Cost{Processor: repeated(picksMeasured, func() {
		question.PrefixKeys[0] += 0x9e3779b97f4a7c15
		replica, _ := routes.Pick(question)
		routes.ApplyLoad(replica.Name, load)
		routes.RecordResult(replica.Name, router.ResultAnswered)
	})}, nil
}

// listRead measures one read of the list from the stand-in over loopback: by
// a reader that has none yet, or by one that has the present one.
func listRead(changed bool) func(size int) (Cost, error) {
	return func(size int) (Cost, error) {
		counter := &countingHandler{handler: emulator.NewInstances(instances(size)...)}
		server := httptest.NewServer(counter)

		defer server.Close()

		list := locator.NewHTTPList(server.Listener.Addr().String())
		_, failed := list.Instances(context.Background())
		counter.bytes.Store(0)

		processor := repeated(listsMeasured, func() {
			if changed {
				list = locator.NewHTTPList(server.Listener.Addr().String())
				defer list.Client.CloseIdleConnections()
			}

			if _, err := list.Instances(context.Background()); err != nil {
				failed = err
			}
		})

		return Cost{Processor: processor, Bytes: float64(counter.bytes.Load()) / listsMeasured}, errors.Trace(failed)
	}
}

func instances(count int) []locator.Instance {
	all := []locator.Instance{}
	for _, replica := range replicas(count) {
		all = append(all, locator.Instance{
			Name:       replica.Name,
			Address:    replica.Address,
			DataCentre: replica.DataCentre,
			Service:    replica.Service,
		})
	}

	return all
}

// Document returns a document of that many workspaces and the target's models.
func Document(workspaces int) *editor.Document {
	document := &editor.Document{}

	for index := range workspaces {
		firm := fmt.Sprintf("firm-%d", index%workspacesAFirm)
		document.Workspaces = append(document.Workspaces, editor.Workspace{Name: fmt.Sprintf("workspace-%04d", index), Firm: firm})
	}

	for index := range servicesAtTarget {
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

const workspacesAFirm = 40

func documentTaken(size int) (Cost, error) {
	value, err := json.Marshal(Document(size))
	if err != nil {
		return Cost{}, errors.Trace(err)
	}

	documents := publisher.NewPublisher(kernel.Discard("entry"), emulator.NewStore())
	revision := documents.Current().Revision
	before := memory()

	processor := repeated(documentsMeasured, func() {
		revision++

		if _, takeErr := documents.ApplyUpdate(revision, value); takeErr != nil {
			err = takeErr
		}
	})

	after := memory()

	runtime.KeepAlive(documents)

	return Cost{Processor: processor, Bytes: after - before}, errors.Trace(err)
}

func events(size int) (Cost, error) {
	before := memory()
	ring := recorder.NewRecorder("entry", recorder.WithCapacity(size))
	number := 0

	processor := repeated(eventsMeasured, func() {
		number++

		ring.Record(recorder.Event{
			Part:      "dispatcher",
			Kind:      recorder.KindRouted,
			RequestID: fmt.Sprintf("%024d.sidecar-%05d", number, number%1600),
			Details:   []string{"Replica=sidecar-00001", fmt.Sprintf("Incarnation=%d", number)},
		})
	})

	after := memory()

	runtime.KeepAlive(ring)

	return Cost{Processor: processor, Bytes: after - before}, nil
}

// jobIndex is one rewriting of an index record: decoded, one entry replaced,
// encoded again.
func jobIndex(size int) (Cost, error) {
	index := scheduler.Index{Writer: "entry-00001"}

	for number := range size {
		index.Jobs = append(index.Jobs, scheduler.IndexEntry{
			ID:    fmt.Sprintf("job-%032x", number),
			Firm:  "kilimanjaro",
			Mark:  fmt.Sprintf("%016x", number),
			Ended: time.Date(2026, time.December, 4, 6, 0, 0, number, time.UTC),
		})
	}

	value, err := json.Marshal(index)
	if err != nil {
		return Cost{}, errors.Trace(err)
	}

	processor := repeated(indexesMeasured, func() {
		read := scheduler.Index{}
		if decodeErr := json.Unmarshal(value, &read); decodeErr != nil {
			err = decodeErr
		}

		if _, encodeErr := json.Marshal(read.With(read.Jobs[size/2])); encodeErr != nil {
			err = encodeErr
		}
	})

	return Cost{Processor: processor, Bytes: float64(len(value))}, errors.Trace(err)
}
