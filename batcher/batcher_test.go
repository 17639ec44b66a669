package batcher_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/bookkeeper"
	"limpetrail/emulator"
)

// Each scenario disturbs the fleet after a job of 12 items was accepted. In the end
// all gateways return the complete results, each item once.
func TestJobCompletesDespiteFaults(t *testing.T) {
	const items = 12

	for name, disturb := range map[string]func(fleet *fleet){
		"no fault": func(*fleet) {},
		"streams break": func(fleet *fleet) {
			fleet.setServerFaults(emulator.EventFaults{BreakAfter: 7, BreakMidEvent: true})
		},
		"streams stall": func(fleet *fleet) {
			fleet.setServerFaults(emulator.EventFaults{StallAfter: 7})
			time.Sleep(3 * time.Second)
			fleet.setServerFaults(emulator.EventFaults{})
		},
		"servers fail for a moment": func(fleet *fleet) {
			fleet.servers[0].SetFaults(emulator.EventFaults{FailStatus: 500})
			time.Sleep(100 * time.Millisecond)
			fleet.servers[0].SetFaults(emulator.EventFaults{})
		},
		"answers of the key-value service are lost": func(fleet *fleet) {
			fleet.gateways[0].catalog.Faults.Set(emulator.FaultSwitches{DropAnswers: 3})
		},
		"writes with lost answers take effect late": func(fleet *fleet) {
			fleet.gateways[0].catalog.DroppedAnswerDelay = 4 * time.Second
			fleet.gateways[0].catalog.Faults.Set(emulator.FaultSwitches{DropAnswers: 3})
		},
		"the key-value service is unavailable": func(fleet *fleet) {
			for _, gateway := range fleet.gateways {
				gateway.catalog.Faults.Set(emulator.FaultSwitches{Outage: true})
			}

			time.Sleep(6 * time.Second)

			for _, gateway := range fleet.gateways {
				gateway.catalog.Faults.Set(emulator.FaultSwitches{})
			}
		},
		"the owner is killed": func(fleet *fleet) {
			time.Sleep(300 * time.Millisecond)
			fleet.kill(0)
			fleet.gateways = fleet.gateways[1:]
		},
		"the owner is cut off from the key-value service past its lease and reconnects": func(fleet *fleet) {
			fleet.gateways[0].catalog.Faults.Set(emulator.FaultSwitches{Freeze: true})
			time.Sleep(8 * time.Second)
			fleet.gateways[0].catalog.Faults.Set(emulator.FaultSwitches{})
		},
		"the owner stops as planned": func(fleet *fleet) {
			fleet.gateways[0].stop()
			<-fleet.gateways[0].stopped
			fleet.gateways = fleet.gateways[1:]
		},
		"the history of the key-value service is compacted": func(fleet *fleet) {
			fleet.catalog.Compact()
		},
		"all gateways die and others start": func(fleet *fleet) {
			time.Sleep(300 * time.Millisecond)

			for index := range fleet.gateways {
				fleet.kill(index)
			}

			fleet.gateways = []*gateway{fleet.startGateway("gateway-1"), fleet.startGateway("gateway-2")}

			time.Sleep(time.Second)
		},
	} {
		for _, partitioned := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, gateways connected %t", name, !partitioned), func(t *testing.T) {
				newFleet(t, 3, 4, func(fleet *fleet) {
					fleet.partitioned.Store(partitioned)
					require.Equal(t, bookkeeper.OK, fleet.submit(0, items))
					disturb(fleet)
					fleet.requireComplete(items)

					// Gateways that were cut off until now commit nothing twice.
					for _, gateway := range fleet.allGateways {
						gateway.catalog.Faults.Set(emulator.FaultSwitches{})
					}

					time.Sleep(10 * time.Second)
					fleet.requireComplete(items)
				})
			})
		}
	}
}

// Reads that wait at another gateway make no calls of the key-value service while the
// owner answers them, and only a few when the owner cannot be reached.
func TestReadersAskTheOwner(t *testing.T) {
	const readWait = 5 * time.Second

	for name, scenario := range map[string]struct {
		partitioned bool
		maxCalls    int
	}{
		"owner reachable":   {false, 0},
		"owner unreachable": {true, int(readWait/(800*time.Millisecond)) + 1},
	} {
		t.Run(name, func(t *testing.T) {
			newFleet(t, 2, 1, func(fleet *fleet) {
				fleet.setServerFaults(emulator.EventFaults{StallAfter: 1})
				fleet.partitioned.Store(scenario.partitioned)
				require.Equal(t, bookkeeper.OK, fleet.submit(0, 1))
				time.Sleep(time.Second)

				before := fleet.catalog.CallCount("Range")
				_, outcome := fleet.gateways[1].batcher.ReadResults(context.Background(), jobID, 0, readWait)
				require.Equal(t, bookkeeper.OK, outcome)
				require.LessOrEqual(t, fleet.catalog.CallCount("Range")-before, scenario.maxCalls)

				fleet.setServerFaults(emulator.EventFaults{})
				fleet.requireComplete(1)
			})
		})
	}
}

// An owner that is cut off from the key-value service may have lost its jobs to another
// process, so it must not answer that there are no further results.
func TestOwnerWithoutKeyValueServiceIsNotAuthoritative(t *testing.T) {
	newFleet(t, 3, 4, func(fleet *fleet) {
		require.Equal(t, bookkeeper.OK, fleet.submit(0, 12))
		fleet.gateways[0].catalog.Faults.Set(emulator.FaultSwitches{Freeze: true})

		for range 60 {
			time.Sleep(time.Second)

			known, _ := fleet.readAll(1)
			page, authoritative := fleet.gateways[0].batcher.Librarian.ReadForPeer(context.Background(), jobID, max(0, len(known)-1), 0)
			require.False(t, authoritative && len(known) > 0 && len(page.Results) == 0, "no result at position %d", len(known)-1)
		}

		results, _ := fleet.readAll(1)
		require.Len(t, results, 12)
	})
}

// An owner whose commit has an unknown outcome may have committed more than it knows,
// so it must not answer that there are no further results.
func TestOwnerWithUnresolvedCommitIsNotAuthoritative(t *testing.T) {
	newFleet(t, 2, 1, func(fleet *fleet) {
		// Seven items run at once. The last one does not finish, so that the job stays
		// open.
		const items = 15

		fleet.partitioned.Store(true)
		require.Equal(t, bookkeeper.OK, fleet.submit(0, items))
		time.Sleep(800 * time.Millisecond)
		fleet.setServerFaults(emulator.EventFaults{NeverAnswer: true})

		owner := fleet.gateways[0]
		owner.catalog.Faults.Set(emulator.FaultSwitches{DropAnswers: 100})

		for known := 0; known == 0; time.Sleep(10 * time.Millisecond) {
			results, _ := fleet.readAll(1)
			known = len(results)
		}

		owner.catalog.Faults.Set(emulator.FaultSwitches{Outage: true})

		for range 50 {
			page, outcome := owner.batcher.ReadResults(context.Background(), jobID, 0, 0)
			require.False(t, outcome == bookkeeper.OK && len(page.Results) == 0, "another gateway has already returned the result")
			time.Sleep(100 * time.Millisecond)
		}

		owner.catalog.Faults.Set(emulator.FaultSwitches{})
		fleet.setServerFaults(emulator.EventFaults{})
		fleet.requireComplete(items)
	})
}

// racingDepositor is a custodian that delivers its job to the key-value service between
// the two lookups of a read.
type racingDepositor struct {
	fleet *fleet
	job   bookkeeper.Job
}

func (depositor *racingDepositor) Deposit(context.Context, bookkeeper.Job) bookkeeper.Outcome {
	return bookkeeper.NotDone
}

func (depositor *racingDepositor) HasJob(ctx context.Context, _ string, _ bookkeeper.Reader) (bool, bool) {
	return false, bookkeeper.CreateDelivered(ctx, depositor.fleet.gateways[0].client, depositor.job) == bookkeeper.OK
}

// A job that a custodian delivers to the key-value service during a lookup is not
// reported as missing.
func TestJobDeliveredDuringALookupIsFound(t *testing.T) {
	newFleet(t, 1, 1, func(fleet *fleet) {
		now := time.Now()
		fleet.gateways[0].batcher.Depositor = &racingDepositor{fleet: fleet, job: bookkeeper.Job{
			ID: jobID, Host: host, Submitted: now, Due: now.Add(time.Minute), GiveUp: now.Add(time.Minute),
			Items: []bookkeeper.Item{{ID: itemID(0), Target: "/batch/x"}},
		}}

		_, outcome := fleet.gateways[0].batcher.ReadResults(context.Background(), jobID, 0, 0)
		require.Equal(t, bookkeeper.OK, outcome)
	})
}

// Results and partial output of many jobs at once are written in transactions within
// the size limit of the key-value service.
func TestManyJobsFitIntoTransactions(t *testing.T) {
	const jobs = 40

	newFleet(t, 1, 8, func(fleet *fleet) {
		catalog := fleet.gateways[0].catalog

		for number := range jobs {
			require.Equal(t, bookkeeper.OK, fleet.submitJob(0, fmt.Sprintf("job-%d", number), 1))
		}

		catalog.Faults.Set(emulator.FaultSwitches{Outage: true})
		time.Sleep(10 * time.Second)
		catalog.Faults.Set(emulator.FaultSwitches{})
		time.Sleep(10 * time.Second)

		for number := range jobs {
			page, outcome := fleet.gateways[0].batcher.ReadResults(context.Background(), fmt.Sprintf("job-%d", number), 0, 0)
			require.Equal(t, bookkeeper.OK, outcome)
			require.Len(t, page.Results, 1, "job %d", number)
		}
	})
}

// The partial output of many jobs that run at once is saved.
func TestManyJobsAreSaved(t *testing.T) {
	const jobs = 24

	newFleet(t, 1, 8, func(fleet *fleet) {
		fleet.setServerFaults(emulator.EventFaults{StallAfter: 7})

		for number := range jobs {
			require.Equal(t, bookkeeper.OK, fleet.submitJob(0, fmt.Sprintf("job-%d", number), 1))
		}

		// Output is saved every 1.5 s; a stalled stream is aborted after 1 s.
		time.Sleep(900 * time.Millisecond)

		ledger := bookkeeper.Ledger{Client: fleet.gateways[0].client}

		for number := range jobs {
			partials, err := ledger.Partials(context.Background(), fmt.Sprintf("job-%d", number))
			require.NoError(t, err)
			require.Len(t, partials, 1, "job %d", number)
		}
	})
}

// A job that is submitted again, also through other gateways, is accepted once.
func TestResentJobIsAcceptedOnce(t *testing.T) {
	newFleet(t, 3, 2, func(fleet *fleet) {
		for gateway := range 3 {
			require.Equal(t, bookkeeper.OK, fleet.submit(gateway, 5))
		}

		fleet.requireComplete(5)

		for gateway := range 3 {
			require.Equal(t, bookkeeper.OK, fleet.submit(gateway, 5))
		}

		time.Sleep(10 * time.Second)
		fleet.requireComplete(5)

		for number := range 5 {
			require.Equal(t, 1, fleet.startedCount(itemID(number)))
		}
	})
}

// An interrupted item is resumed after its last event.
func TestInterruptedItemIsResumed(t *testing.T) {
	newFleet(t, 1, 2, func(fleet *fleet) {
		fleet.setServerFaults(emulator.EventFaults{BreakAfter: 7})
		require.Equal(t, bookkeeper.OK, fleet.submit(0, 1))
		fleet.requireComplete(1)

		resumedFrom := []int{}
		for _, server := range fleet.servers {
			resumedFrom = append(resumedFrom, server.ResumedAfter(itemID(0))...)
		}

		require.ElementsMatch(t, []int{-1, 6, 13}, resumedFrom)
	})
}

// Output that an owner saved before it stopped or died is not generated again.
func TestNextOwnerResumesSavedOutput(t *testing.T) {
	for name, terminate := range map[string]func(fleet *fleet){
		"killed":  func(fleet *fleet) { fleet.kill(0) },
		"stopped": func(fleet *fleet) { fleet.gateways[0].stop() },
	} {
		t.Run(name, func(t *testing.T) {
			newFleet(t, 2, 2, func(fleet *fleet) {
				for _, server := range fleet.servers {
					// An item takes four seconds.
					server.EventInterval = 200 * time.Millisecond
				}

				require.Equal(t, bookkeeper.OK, fleet.submit(0, 4))
				time.Sleep(3 * time.Second)
				terminate(fleet)

				fleet.gateways = fleet.gateways[1:]
				fleet.requireComplete(4)

				for number := range 4 {
					resumedFrom := []int{}
					for _, server := range fleet.servers {
						resumedFrom = append(resumedFrom, server.ResumedAfter(itemID(number))...)
					}

					slices.Sort(resumedFrom)
					require.Equal(t, -1, resumedFrom[0])
					require.Greater(t, resumedFrom[1], 5, "the output of at least half of the three seconds was saved")
				}
			})
		})
	}
}

// The next owner knows the number of failed attempts, so an item that always fails does
// not get all its attempts again.
func TestFailedAttemptsAreKept(t *testing.T) {
	const attempts = 3

	newFleet(t, 2, 2, func(fleet *fleet) {
		fleet.setServerFaults(emulator.EventFaults{FailStatus: http.StatusInternalServerError})
		require.Equal(t, bookkeeper.OK, fleet.submit(0, 1))

		for fleet.startedCount(itemID(0)) < attempts-1 {
			time.Sleep(10 * time.Millisecond)
		}

		// Without backend servers no further attempt is made; the progress is saved.
		fleet.gateways[0].placer.UpdateServers(nil)
		time.Sleep(2 * time.Second)
		fleet.kill(0)

		fleet.gateways = fleet.gateways[1:]
		time.Sleep(completionTimeout)

		results, _ := fleet.readAll(0)
		require.Len(t, results, 1)
		require.Equal(t, bookkeeper.GivenUp, results[0].State)
		require.Equal(t, attempts, fleet.startedCount(itemID(0)))
	})
}

// Items that fail are given up after as many attempts as the route allows, and items that a
// backend server rejects as impossible after one.
func TestItemsThatCannotBeDoneAreGivenUp(t *testing.T) {
	for name, scenario := range map[string]struct {
		status int
		runs   int
	}{
		"failed":     {500, 3},
		"impossible": {422, 1},
	} {
		t.Run(name, func(t *testing.T) {
			newFleet(t, 2, 2, func(fleet *fleet) {
				fleet.setServerFaults(emulator.EventFaults{FailStatus: scenario.status})
				require.Equal(t, bookkeeper.OK, fleet.submit(0, 3))
				time.Sleep(20 * time.Second)

				results, _ := fleet.readAll(1)
				require.Len(t, results, 3)

				for _, result := range results {
					require.Equal(t, bookkeeper.GivenUp, result.State)
					require.Equal(t, scenario.runs, fleet.startedCount(result.ID))
				}
			})
		})
	}
}

// A call that ends a job was refused as not done although its write was to take effect later.
func TestEndOfAJobWithALostAnswerIsUnknown(t *testing.T) {
	newFleet(t, 1, 1, func(fleet *fleet) {
		fleet.setServerFaults(emulator.EventFaults{StallAfter: 1})
		require.Equal(t, bookkeeper.OK, fleet.submit(0, 1))
		fleet.gateways[0].catalog.Faults.Set(emulator.FaultSwitches{DropAnswers: 1000})

		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()

		require.Equal(t, bookkeeper.Unknown, fleet.gateways[0].batcher.EndJob(ctx, jobID))
		fleet.gateways[0].catalog.Faults.Set(emulator.FaultSwitches{Outage: true})
		require.Equal(t, bookkeeper.NotDone, fleet.gateways[0].batcher.EndJob(context.Background(), "other"))
	})
}

// A job that was ended at any gateway starts no further item.
func TestEndedJobStops(t *testing.T) {
	newFleet(t, 3, 1, func(fleet *fleet) {
		require.Equal(t, bookkeeper.OK, fleet.submit(0, 60))
		time.Sleep(700 * time.Millisecond)

		require.Equal(t, bookkeeper.OK, fleet.gateways[2].batcher.EndJob(context.Background(), jobID))
		require.Equal(t, bookkeeper.OK, fleet.gateways[1].batcher.EndJob(context.Background(), jobID))

		// The platform allows three seconds until a job stops.
		time.Sleep(3 * time.Second)

		started := fleet.servers[0].TotalRuns()
		require.Less(t, started, 60)

		time.Sleep(20 * time.Second)
		require.Equal(t, started, fleet.servers[0].TotalRuns())
	})
}

// While the key-value service is unavailable and there are no custodians, no job is
// accepted, and an unknown job is not reported as missing.
func TestNoJobIsAcceptedDuringAnOutage(t *testing.T) {
	newFleet(t, 1, 1, func(fleet *fleet) {
		fleet.gateways[0].catalog.Faults.Set(emulator.FaultSwitches{Outage: true})

		require.Equal(t, bookkeeper.NotDone, fleet.submit(0, 2))

		_, outcome := fleet.gateways[0].batcher.ReadResults(context.Background(), jobID, 0, 0)
		require.Equal(t, bookkeeper.NotDone, outcome)

		fleet.gateways[0].catalog.Faults.Set(emulator.FaultSwitches{})
		time.Sleep(10 * time.Second)

		_, outcome = fleet.gateways[0].batcher.ReadResults(context.Background(), jobID, 0, 0)
		require.Equal(t, bookkeeper.NotFound, outcome)
		require.Zero(t, fleet.servers[0].TotalRuns(), "a refused job does not run")
	})
}

// A submission whose answer from the key-value service was lost is reported as unknown
// or accepted, never as refused.
func TestSubmissionWithLostAnswerIsNotRefused(t *testing.T) {
	newFleet(t, 1, 2, func(fleet *fleet) {
		fleet.gateways[0].catalog.Faults.Set(emulator.FaultSwitches{DropAnswers: 2})
		require.Equal(t, bookkeeper.OK, fleet.submit(0, 2))
		fleet.requireComplete(2)
	})
}

// Items whose route is no longer configured are given up and do not run.
func TestItemsWithoutARouteDoNotRun(t *testing.T) {
	newFleet(t, 1, 1, func(fleet *fleet) {
		fleet.configure(2, false)
		require.Equal(t, bookkeeper.OK, fleet.submit(0, 2))
		time.Sleep(5 * time.Second)

		results, _ := fleet.readAll(0)
		require.Len(t, results, 2)
		require.Equal(t, bookkeeper.GivenUp, results[0].State)
		require.Zero(t, fleet.servers[0].TotalRuns())
	})
}

// Every gateway returns the body of an item as it was submitted.
func TestBodiesAreKept(t *testing.T) {
	newFleet(t, 2, 1, func(fleet *fleet) {
		require.Equal(t, bookkeeper.OK, fleet.submit(0, 3))

		for _, gateway := range fleet.gateways {
			body, outcome := gateway.batcher.ItemBody(context.Background(), jobID, itemID(2))
			require.Equal(t, bookkeeper.OK, outcome)
			require.Equal(t, "body of job-2", string(body))

			_, outcome = gateway.batcher.ItemBody(context.Background(), jobID, "other")
			require.Equal(t, bookkeeper.NotFound, outcome)
		}
	})
}

// All gateways return a result within a second after one of them has returned it.
func TestReadersOfAllGatewaysSeeTheSame(t *testing.T) {
	newFleet(t, 3, 1, func(fleet *fleet) {
		require.Equal(t, bookkeeper.OK, fleet.submit(0, 20))

		for range 100 {
			seen, _ := fleet.readAll(0)

			time.Sleep(time.Second)

			for gateway := range fleet.gateways {
				results, _ := fleet.readAll(gateway)
				require.GreaterOrEqual(t, len(results), len(seen))
				require.Equal(t, seen, results[:len(seen)])
			}

			if len(seen) == 20 {
				return
			}
		}

		require.Fail(t, "the job was not completed in time")
	})
}

// Jobs are removed when their retention is over, and not before.
func TestOldJobsAreRemoved(t *testing.T) {
	newFleet(t, 2, 2, func(fleet *fleet) {
		require.Equal(t, bookkeeper.OK, fleet.submit(0, 2))
		fleet.requireComplete(2)

		time.Sleep(15 * time.Minute)
		fleet.requireComplete(2)

		time.Sleep(10 * time.Minute)

		_, outcome := fleet.gateways[1].batcher.ReadResults(context.Background(), jobID, 0, 0)
		require.Equal(t, bookkeeper.NotFound, outcome)
	})
}

// A segment whose commit took effect without an answer may be read back before it is
// proposed again. It then counts as committed and is not proposed under the next number.
func TestSegmentThatWasReadBackIsNotProposedAgain(t *testing.T) {
	newFleet(t, 1, 1, func(fleet *fleet) {
		gateway := fleet.gateways[0]
		// If the owner is not authoritative, a read goes to the key-value service.
		gateway.batcher.RegistrationValid = func() bool { return false }
		gateway.catalog.DroppedAnswerDelay = 300 * time.Millisecond

		require.Equal(t, bookkeeper.OK, fleet.submit(0, 30))

		for range 40 {
			gateway.catalog.Faults.Set(emulator.FaultSwitches{DropAnswers: 1})
			time.Sleep(350 * time.Millisecond)
			fleet.readAll(0)
		}

		gateway.catalog.Faults.Set(emulator.FaultSwitches{})
		fleet.requireComplete(30)
	})
}
