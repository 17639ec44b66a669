package batcher_test

import (
	"context"
	"maps"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/bookkeeper"
	"limpetrail/emulator"
	"limpetrail/forwarder"
	"limpetrail/matcher"
	"limpetrail/placer"
)

// workspaceRecorder is a backend that counts calls by workspace.
type workspaceRecorder struct {
	forwarder.Backend
	mutex sync.Mutex
	calls map[string]int
	// unauthenticated counts calls whose submitted key would be passed on.
	unauthenticated int
}

func (recorder *workspaceRecorder) Send(ctx context.Context, server placer.Server, call *forwarder.Call, attempt forwarder.Attempt) (forwarder.Reply, error) {
	recorder.mutex.Lock()
	recorder.calls[call.Workspace]++

	if !call.Authenticated {
		recorder.unauthenticated++
	}
	recorder.mutex.Unlock()

	return recorder.Backend.Send(ctx, server, call, attempt)
}

// counts returns the calls by workspace, and how many were not authenticated.
func (recorder *workspaceRecorder) counts() (map[string]int, int) {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()

	return maps.Clone(recorder.calls), recorder.unauthenticated
}

// recordWorkspaces records the calls of all gateways.
func recordWorkspaces(fleet *fleet) *workspaceRecorder {
	recorder := &workspaceRecorder{Backend: fleet.gateways[0].batcher.Backend, calls: map[string]int{}}
	for _, gateway := range fleet.gateways {
		gateway.batcher.Backend = recorder
	}

	return recorder
}

func submittedBy(workspace string) func(job *bookkeeper.Job) {
	return func(job *bookkeeper.Job) { job.Workspace = workspace }
}

// requireWorkspace checks that each gateway shows the job to its workspace only, and denies it to others
// like a job that does not exist, also while the key-value service is away.
func requireWorkspace(fleet *fleet, workspace string) {
	fleet.t.Helper()

	for number, gateway := range fleet.gateways {
		for reader, outcome := range map[bookkeeper.Reader]bookkeeper.Outcome{
			{Restricted: true, Workspace: workspace}: bookkeeper.OK,
			{}:                                       bookkeeper.OK,
			{Restricted: true, Workspace: "other"}:   gateway.batcher.CheckReader(context.Background(), "unknown", bookkeeper.Reader{Restricted: true, Workspace: "other"}),
			{Restricted: true}:                       gateway.batcher.CheckReader(context.Background(), "unknown", bookkeeper.Reader{Restricted: true}),
		} {
			require.Equal(fleet.t, outcome, gateway.batcher.CheckReader(context.Background(), jobID, reader), "gateway %d, %v", number, reader)
		}
	}
}

// The workspace of a job must survive each way on which the job gets to another process: otherwise its callers
// could not read it, others could, or its items would run for nobody.
func TestJobKeepsItsWorkspace(t *testing.T) {
	const items = 8

	for name, disturb := range map[string]func(fleet *fleet, custodians *fakeCustodians){
		"no fault":            func(*fleet, *fakeCustodians) {},
		"its owner is killed": func(fleet *fleet, _ *fakeCustodians) { fleet.kill(0); fleet.gateways = fleet.gateways[1:] },
		"its owner hands it over": func(fleet *fleet, _ *fakeCustodians) {
			fleet.gateways[0].stop()
			<-fleet.gateways[0].stopped
			fleet.gateways = fleet.gateways[1:]
		},
		"the store comes back, owned": func(fleet *fleet, custodians *fakeCustodians) { deliverLate(fleet, custodians) },
		"the store comes back, owner killed": func(fleet *fleet, custodians *fakeCustodians) {
			fleet.kill(0)
			fleet.gateways = fleet.gateways[1:]
			deliverLate(fleet, custodians)
		},
	} {
		t.Run(name, func(t *testing.T) {
			newFleet(t, 3, 4, func(fleet *fleet) {
				recorder, custodians := recordWorkspaces(fleet), newFakeCustodians(fleet)
				if name[:3] == "the" {
					fleet.setCatalogFaults(emulator.FaultSwitches{Outage: true})
				}

				require.Equal(t, bookkeeper.OK, fleet.submitJob(0, jobID, items, submittedBy("a")))
				time.Sleep(time.Second)
				disturb(fleet, custodians)
				fleet.requireComplete(items)
				requireWorkspace(fleet, "a")

				fleet.setCatalogFaults(emulator.FaultSwitches{Outage: true})
				requireWorkspace(fleet, "a")

				calls, unauthenticated := recorder.counts()
				require.Positive(t, calls["a"])
				require.Len(t, calls, 1)
				require.Zero(t, unauthenticated)
			})
		})
	}
}

// deliverLate ends an outage of the key-value service and lets the custodians deliver. Until then no reader
// of another workspace may learn that the job exists.
func deliverLate(fleet *fleet, custodians *fakeCustodians) {
	fleet.setCatalogFaults(emulator.FaultSwitches{})
	time.Sleep(20 * time.Second)

	for _, gateway := range fleet.gateways {
		require.Equal(fleet.t, bookkeeper.NotDone, gateway.batcher.CheckReader(context.Background(), jobID, bookkeeper.Reader{Restricted: true, Workspace: "a"}))
		require.Equal(fleet.t, bookkeeper.NotFound, gateway.batcher.CheckReader(context.Background(), jobID, bookkeeper.Reader{Restricted: true, Workspace: "b"}))
	}

	custodians.deliver(fleet.t)
}

// A caller who was told that its job is accepted, while the ID belongs to another workspace's job, would
// never get results.
func TestJobWithTheIDOfAnotherWorkspace(t *testing.T) {
	newFleet(t, 2, 4, func(fleet *fleet) {
		require.Equal(t, bookkeeper.OK, fleet.submitJob(0, jobID, 2, submittedBy("a")))
		require.Equal(t, bookkeeper.OK, fleet.submitJob(0, "old", 2))

		for _, gateway := range fleet.gateways {
			for workspace, outcome := range map[string]bookkeeper.Outcome{"a": bookkeeper.OK, "b": bookkeeper.Occupied} {
				submitter, now := bookkeeper.Reader{Restricted: true, Workspace: workspace}, time.Now()
				job := bookkeeper.Job{ID: jobID, Host: host, Workspace: workspace, Submitted: now, Due: now.Add(time.Minute), GiveUp: now.Add(time.Minute), Items: []bookkeeper.Item{{ID: itemID(0), Target: "/batch/x"}}}
				require.Equal(t, outcome, gateway.batcher.SubmitBy(context.Background(), submitter, job))

				// Jobs without a workspace are open to all, as before there were any.
				job.ID = "old"
				require.Equal(t, bookkeeper.OK, gateway.batcher.SubmitBy(context.Background(), submitter, job))
				require.Equal(t, bookkeeper.OK, gateway.batcher.CheckReader(context.Background(), "old", submitter))
			}
		}
	})
}

// An item of a job that was accepted before there were workspaces must not name one by its headers.
func TestItemsOfOldJobsAreAuthenticatedOnceThereAreWorkspaces(t *testing.T) {
	newFleet(t, 1, 4, func(fleet *fleet) {
		recorder := recordWorkspaces(fleet)
		require.Equal(t, bookkeeper.OK, fleet.submitJob(0, "old", 2))
		time.Sleep(time.Minute)

		_, unauthenticated := recorder.counts()
		require.Equal(t, 2, unauthenticated, "without workspaces the headers are passed on")

		document := *fleet.configuration.Document()
		document.Version++
		document.SetWorkspaces([]matcher.Workspace{{Name: "a", Keys: []string{"k"}}})
		fleet.configuration.Apply(&document)

		require.Equal(t, bookkeeper.OK, fleet.submitJob(0, "new", 2))
		time.Sleep(time.Minute)

		calls, unauthenticated := recorder.counts()
		require.Equal(t, 2, unauthenticated)
		require.Equal(t, map[string]int{"": 4}, calls)
	})
}
