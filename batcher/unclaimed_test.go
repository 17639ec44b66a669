package batcher_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/batcher"
	"limpetrail/bookkeeper"
	"limpetrail/emulator"
	"limpetrail/keeper"
	"limpetrail/kernel"
)

// fakeCustodians stores jobs, and delivers them to the key-value service on demand.
type fakeCustodians struct {
	client *keeper.CatalogClient

	mutex sync.Mutex
	jobs  []bookkeeper.Job
}

// newFakeCustodians returns custodians and sets them for all gateways.
func newFakeCustodians(fleet *fleet) *fakeCustodians {
	custodians := &fakeCustodians{client: keeper.NewCatalogClient(kernel.NewDiscardCommon("custodian"), fleet.catalog.NewClient(), keeper.DefaultSettings())}
	for _, gateway := range fleet.gateways {
		gateway.batcher.Depositor = custodians
	}

	return custodians
}

func (custodians *fakeCustodians) Deposit(_ context.Context, job bookkeeper.Job) bookkeeper.Outcome {
	custodians.mutex.Lock()
	defer custodians.mutex.Unlock()

	custodians.jobs = append(custodians.jobs, job)

	return bookkeeper.OK
}

func (custodians *fakeCustodians) HasJob(_ context.Context, _ string, reader bookkeeper.Reader) (bool, bool) {
	custodians.mutex.Lock()
	defer custodians.mutex.Unlock()

	return slices.ContainsFunc(custodians.jobs, func(job bookkeeper.Job) bool { return reader.MayRead(job.Workspace) }), true
}

// deliver creates all stored jobs in the key-value service. The first copy of a job
// counts.
func (custodians *fakeCustodians) deliver(t *testing.T) {
	t.Helper()

	custodians.mutex.Lock()
	defer custodians.mutex.Unlock()

	for _, job := range custodians.jobs {
		require.Equal(t, bookkeeper.OK, bookkeeper.CreateDelivered(context.Background(), custodians.client, job))
	}

	custodians.jobs = nil
}

const (
	outageDuration = 7 * time.Second
	// commitDelay is how long it may take after an outage to commit the results of a job
	// that was completed meanwhile. It covers the pause between two probes of the
	// key-value service, the pause between two checks for unclaimed jobs, the commit
	// interval, and calls.
	commitDelay = 1500*time.Millisecond + 3*500*time.Millisecond
)

// A job is accepted while the key-value service is unavailable and backend servers are
// free. Its items run meanwhile, once each, and their results are committed after the
// outage.
func TestDepositedJobRunsDuringAnOutage(t *testing.T) {
	const items = 6

	newFleet(t, 2, 4, func(fleet *fleet) {
		custodians := newFakeCustodians(fleet)
		fleet.setCatalogFaults(emulator.FaultSwitches{Outage: true})
		require.Equal(t, bookkeeper.OK, fleet.submit(0, items))
		// Submitting the same job again has no effect.
		require.Equal(t, bookkeeper.OK, fleet.submit(0, items))
		time.Sleep(outageDuration)

		for number := range items {
			require.Equal(t, 1, fleet.startedCount(itemID(number)), "item %d", number)
		}

		// No gateway returns a result before its position is committed.
		for _, gateway := range fleet.gateways {
			_, outcome := gateway.batcher.ReadResults(context.Background(), jobID, 0, 0)
			require.Equal(t, bookkeeper.NotDone, outcome)
		}

		fleet.setCatalogFaults(emulator.FaultSwitches{})
		custodians.deliver(t)
		time.Sleep(commitDelay)

		results, _ := fleet.readAll(1)
		require.Len(t, results, items)
		fleet.requireComplete(items)

		for number := range items {
			require.Equal(t, 1, fleet.startedCount(itemID(number)), "item %d", number)
		}
	})
}

// Each scenario disturbs a job that runs before it is in the key-value service. In the
// end all its results are complete.
func TestDepositedJobCompletesDespiteFaults(t *testing.T) {
	const items = 8

	for name, disturb := range map[string]func(fleet *fleet, custodians *fakeCustodians){
		"no fault": func(*fleet, *fakeCustodians) {},
		"two gateways accepted the job": func(fleet *fleet, _ *fakeCustodians) {
			require.Equal(t, bookkeeper.OK, fleet.submit(1, items))
		},
		"the running gateway is killed": func(fleet *fleet, _ *fakeCustodians) {
			time.Sleep(time.Second)
			fleet.kill(0)
			fleet.gateways = fleet.gateways[1:]
		},
		"the running gateway stops as planned": func(fleet *fleet, _ *fakeCustodians) {
			time.Sleep(time.Second)
			fleet.gateways[0].stop()
			<-fleet.gateways[0].stopped
			fleet.gateways = fleet.gateways[1:]
		},
		"the running gateway reconnects to the key-value service last": func(fleet *fleet, custodians *fakeCustodians) {
			time.Sleep(time.Second)

			for _, gateway := range fleet.gateways[1:] {
				gateway.catalog.Faults.Set(emulator.FaultSwitches{})
			}

			custodians.deliver(t)
			time.Sleep(8 * time.Second)
		},
		"writes with lost answers take effect late": func(fleet *fleet, custodians *fakeCustodians) {
			fleet.gateways[0].catalog.DroppedAnswerDelay = 4 * time.Second
			custodians.deliver(t)
			fleet.setCatalogFaults(emulator.FaultSwitches{DropAnswers: 3})
		},
	} {
		t.Run(name, func(t *testing.T) {
			newFleet(t, 3, 4, func(fleet *fleet) {
				custodians := newFakeCustodians(fleet)
				fleet.setCatalogFaults(emulator.FaultSwitches{Outage: true})
				require.Equal(t, bookkeeper.OK, fleet.submit(0, items))
				disturb(fleet, custodians)
				fleet.setCatalogFaults(emulator.FaultSwitches{})
				custodians.deliver(t)
				fleet.requireComplete(items)

				for _, gateway := range fleet.allGateways {
					gateway.catalog.Faults.Set(emulator.FaultSwitches{})
				}

				time.Sleep(10 * time.Second)
				fleet.requireComplete(items)
			})
		})
	}
}

// A job that is ended after an outage of the key-value service soon stops at all
// gateways, also at the one that already ran its items during the outage.
func TestDepositedJobCanBeEnded(t *testing.T) {
	newFleet(t, 2, 1, func(fleet *fleet) {
		custodians := newFakeCustodians(fleet)
		fleet.setCatalogFaults(emulator.FaultSwitches{Outage: true})
		require.Equal(t, bookkeeper.OK, fleet.submit(0, 200))
		time.Sleep(time.Second)
		require.Equal(t, bookkeeper.NotDone, fleet.gateways[0].batcher.EndJob(context.Background(), jobID))

		fleet.setCatalogFaults(emulator.FaultSwitches{})
		custodians.deliver(t)
		require.Equal(t, bookkeeper.OK, fleet.gateways[1].batcher.EndJob(context.Background(), jobID))
		time.Sleep(3 * time.Second)

		started := 0
		for number := range 200 {
			started += fleet.startedCount(itemID(number))
		}

		time.Sleep(3 * time.Second)

		for number := range 200 {
			started -= fleet.startedCount(itemID(number))
		}

		require.Zero(t, started)
	})
}

// A stopping process hands its jobs over to another one, which resumes them.
func TestStoppedProcessHandsItsJobsOver(t *testing.T) {
	const items = 6

	for name, scenario := range map[string]struct {
		unavailable, answersLost bool
	}{
		"no fault":                             {},
		"outage of the key-value service":      {unavailable: true},
		"answers of handovers lost":            {answersLost: true},
		"outage and answers of handovers lost": {unavailable: true, answersLost: true},
	} {
		t.Run(name, func(t *testing.T) {
			newFleet(t, 3, 4, func(fleet *fleet) {
				require.Equal(t, bookkeeper.OK, fleet.submit(0, items))
				fleet.setServerFaults(emulator.EventFaults{StallAfter: 7})
				time.Sleep(time.Second / 2)

				if scenario.unavailable {
					fleet.setCatalogFaults(emulator.FaultSwitches{Outage: true})
				}

				fleet.dropHandoverReplies.Store(scenario.answersLost)
				fleet.gateways[0].stop()
				<-fleet.gateways[0].stopped
				fleet.gateways = fleet.gateways[1:]
				fleet.setServerFaults(emulator.EventFaults{})

				// Another process resumes the job at once.
				time.Sleep(time.Second)

				resumed := 0
				for number := range items {
					resumed += fleet.startedCount(itemID(number)) - 1
				}

				require.GreaterOrEqual(t, resumed, items)

				if !scenario.answersLost {
					require.Equal(t, items, resumed, "each item was resumed once")
				}

				time.Sleep(outageDuration - time.Second)
				fleet.setCatalogFaults(emulator.FaultSwitches{})
				time.Sleep(commitDelay)

				results, _ := fleet.readAll(1)
				require.Len(t, results, items)
				fleet.requireComplete(items)
			})
		})
	}
}

// A process with many jobs stops while all others are frozen. It still releases its jobs
// through the key-value service in time.
func TestFrozenPeersDoNotBlockTheReleaseOfJobs(t *testing.T) {
	const jobs = 8

	newFleet(t, 4, 4, func(fleet *fleet) {
		for number := range jobs {
			require.Equal(t, bookkeeper.OK, fleet.submitJob(0, fmt.Sprintf("job-%d", number), 40))
		}

		fleet.hangHandovers.Store(true)
		fleet.setCatalogFaults(emulator.FaultSwitches{Delay: 4 * time.Millisecond})
		fleet.gateways[0].stop()
		<-fleet.gateways[0].stopped

		for number := range jobs {
			head, err := bookkeeper.Ledger{Client: fleet.gateways[1].client}.Head(context.Background(), fmt.Sprintf("job-%d", number))
			require.NoError(t, err)
			require.NotEqual(t, fleet.gateways[0].batcher.ProcessID, head.Owner, "job %d", number)
		}
	})
}

// Handovers without a job or items, or with results that do not match the items, are
// rejected.
func TestInvalidHandoversAreRejected(t *testing.T) {
	item := bookkeeper.Item{ID: "a", Target: "/x"}

	for name, handover := range map[string]batcher.Handover{
		"no job":                    {},
		"no item":                   {Job: bookkeeper.Job{ID: "job"}},
		"result of an unknown item": {Job: bookkeeper.Job{ID: "job", Items: []bookkeeper.Item{item}}, Finished: []bookkeeper.Result{{ID: "b"}}},
		"two results of one item":   {Job: bookkeeper.Job{ID: "job", Items: []bookkeeper.Item{item}}, Finished: []bookkeeper.Result{{ID: "a"}, {ID: "a"}}},
	} {
		t.Run(name, func(t *testing.T) {
			require.Error(t, handover.Validate())
		})
	}
}

// A process may know a head that names another owner before it stops the job. It must
// not commit results under that head, as the other owner may commit the same ones.
func TestNothingIsCommittedUnderAnotherOwnersHead(t *testing.T) {
	const items = 4

	newFleet(t, 2, 1, func(fleet *fleet) {
		// The followers of both gateways see no changes during the test.
		fleet.watchPause = time.Hour
		first, second := fleet.startGateway("first"), fleet.startGateway("second")
		fleet.gateways = []*gateway{first, second}
		time.Sleep(time.Second)

		require.Equal(t, bookkeeper.OK, fleet.submit(0, items))

		ledger := bookkeeper.Ledger{Client: second.client}
		head, err := ledger.Head(context.Background(), jobID)
		require.NoError(t, err)

		newHead := head.Head
		newHead.Owner = second.batcher.ProcessID
		replaced, applied, err := ledger.Replace(context.Background(), jobID, head, newHead)
		require.NoError(t, err)
		require.True(t, applied)

		first.batcher.Librarian.SetHeads(map[string]bookkeeper.VersionedHead{jobID: replaced})
		time.Sleep(5 * time.Second)

		segments, err := ledger.Segments(context.Background(), jobID, 0)
		require.NoError(t, err)
		require.Empty(t, segments)
	})
}

// A process with jobs is killed or frozen. It stays registered for some seconds, but its
// load reports stop, and the others take over its jobs at once.
func TestJobsOfASilentProcessAreTakenOver(t *testing.T) {
	const items = 4

	newFleet(t, 3, 4, func(fleet *fleet) {
		require.Equal(t, bookkeeper.OK, fleet.submit(0, items))
		time.Sleep(300 * time.Millisecond)

		silent := fleet.gateways[0]
		fleet.kill(0)
		fleet.gateways = fleet.gateways[1:]
		fleet.silentProcesses.Store(silent.batcher.ProcessID, true)
		time.Sleep(time.Second)

		head, err := bookkeeper.Ledger{Client: fleet.gateways[0].client}.Head(context.Background(), jobID)
		require.NoError(t, err)
		require.Contains(t, []string{fleet.gateways[0].batcher.ProcessID, fleet.gateways[1].batcher.ProcessID}, head.Owner)

		fleet.requireComplete(items)
	})
}
