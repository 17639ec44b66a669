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

// Each scenario disturbs the fleet after a job of 12 items was accepted. The
// job is whole at all gateways in the end, each item listed once.
func TestJobIsWholeInTheEnd(t *testing.T) {
	const items = 12

	for name, happen := range map[string]func(fleet *fleet){
		"nothing": func(*fleet) {},
		"streams break": func(fleet *fleet) {
			fleet.all(emulator.EventFaults{BreakAfter: 7, BreakWithin: true})
		},
		"streams fall silent": func(fleet *fleet) {
			fleet.all(emulator.EventFaults{StallAfter: 7})
			time.Sleep(3 * time.Second)
			fleet.all(emulator.EventFaults{})
		},
		"servers fail for a moment": func(fleet *fleet) {
			fleet.servers[0].Set(emulator.EventFaults{Fail: 500})
			time.Sleep(100 * time.Millisecond)
			fleet.servers[0].Set(emulator.EventFaults{})
		},
		"answers of the service are lost": func(fleet *fleet) {
			fleet.gateways[0].catalog.Faults.Set(emulator.Switches{DropAnswers: 3})
		},
		"lost answers took effect late": func(fleet *fleet) {
			fleet.gateways[0].catalog.Late = 4 * time.Second
			fleet.gateways[0].catalog.Faults.Set(emulator.Switches{DropAnswers: 3})
		},
		"the service is away": func(fleet *fleet) {
			for _, gateway := range fleet.gateways {
				gateway.catalog.Faults.Set(emulator.Switches{Outage: true})
			}

			time.Sleep(6 * time.Second)

			for _, gateway := range fleet.gateways {
				gateway.catalog.Faults.Set(emulator.Switches{})
			}
		},
		"the owner dies": func(fleet *fleet) {
			time.Sleep(300 * time.Millisecond)
			fleet.kill(0)
			fleet.gateways = fleet.gateways[1:]
		},
		"the owner is cut off from the service past its lease and returns": func(fleet *fleet) {
			fleet.gateways[0].catalog.Faults.Set(emulator.Switches{Freeze: true})
			time.Sleep(8 * time.Second)
			fleet.gateways[0].catalog.Faults.Set(emulator.Switches{})
		},
		"the owner stops as planned": func(fleet *fleet) {
			fleet.gateways[0].stop()
			<-fleet.gateways[0].stopped
			fleet.gateways = fleet.gateways[1:]
		},
		"the history is forgotten": func(fleet *fleet) {
			fleet.catalog.Compact()
		},
		"all gateways die and others start": func(fleet *fleet) {
			time.Sleep(300 * time.Millisecond)

			for index := range fleet.gateways {
				fleet.kill(index)
			}

			fleet.gateways = []*gateway{fleet.start("gateway-1"), fleet.start("gateway-2")}

			time.Sleep(time.Second)
		},
	} {
		for _, silent := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, gateways reach each other %t", name, !silent), func(t *testing.T) {
				newFleet(t, 3, 4, func(fleet *fleet) {
					fleet.silent.Store(silent)
					require.Equal(t, bookkeeper.OK, fleet.submits(0, items))
					happen(fleet)
					fleet.expectWhole(items)

					// Whoever woke up late lists nothing twice.
					for _, gateway := range fleet.started {
						gateway.catalog.Faults.Set(emulator.Switches{})
					}

					time.Sleep(10 * time.Second)
					fleet.expectWhole(items)
				})
			})
		}
	}
}

// Readers who wait at other gateways cost the service no calls while the owner
// answers, and a few where it cannot be asked.
func TestReadersAskTheOwner(t *testing.T) {
	const readers = 5 * time.Second

	for name, scenario := range map[string]struct {
		silent bool
		most   int
	}{
		"the owner answers":      {false, 0},
		"the owner is not heard": {true, int(readers/(800*time.Millisecond)) + 1},
	} {
		t.Run(name, func(t *testing.T) {
			newFleet(t, 2, 1, func(fleet *fleet) {
				fleet.all(emulator.EventFaults{StallAfter: 1})
				fleet.silent.Store(scenario.silent)
				require.Equal(t, bookkeeper.OK, fleet.submits(0, 1))
				time.Sleep(time.Second)

				before := fleet.catalog.Calls("Range")
				_, outcome := fleet.gateways[1].batcher.Read(context.Background(), jobID, 0, readers)
				require.Equal(t, bookkeeper.OK, outcome)
				require.LessOrEqual(t, fleet.catalog.Calls("Range")-before, scenario.most)

				fleet.all(emulator.EventFaults{})
				fleet.expectWhole(1)
			})
		})
	}
}

// An owner that is cut off from the service may have lost its jobs to another
// one, and does not answer that there is nothing new.
func TestUncertainOwnerIsNotBelieved(t *testing.T) {
	newFleet(t, 3, 4, func(fleet *fleet) {
		require.Equal(t, bookkeeper.OK, fleet.submits(0, 12))
		fleet.gateways[0].catalog.Faults.Set(emulator.Switches{Freeze: true})

		for range 60 {
			time.Sleep(time.Second)

			known, _ := fleet.reads(1)
			reading, certain := fleet.gateways[0].batcher.Librarian.ReadOwned(context.Background(), jobID, max(0, len(known)-1), 0)
			require.False(t, certain && len(known) > 0 && len(reading.Results) == 0, "nothing is listed at %d", len(known)-1)
		}

		results, _ := fleet.reads(1)
		require.Len(t, results, 12)
	})
}

// An owner whose listing has an unknown fate may have listed more than it knows,
// and does not answer that there is nothing new.
func TestOwnerDoesNotKnowWhatItListed(t *testing.T) {
	newFleet(t, 2, 1, func(fleet *fleet) {
		// Seven items run at once; the last one does not end, so that the job stays
		// open.
		const items = 15

		fleet.silent.Store(true)
		require.Equal(t, bookkeeper.OK, fleet.submits(0, items))
		time.Sleep(800 * time.Millisecond)
		fleet.all(emulator.EventFaults{Dark: true})

		owner := fleet.gateways[0]
		owner.catalog.Faults.Set(emulator.Switches{DropAnswers: 100})

		for known := 0; known == 0; time.Sleep(10 * time.Millisecond) {
			results, _ := fleet.reads(1)
			known = len(results)
		}

		owner.catalog.Faults.Set(emulator.Switches{Outage: true})

		for range 50 {
			reading, outcome := owner.batcher.Read(context.Background(), jobID, 0, 0)
			require.False(t, outcome == bookkeeper.OK && len(reading.Results) == 0, "the result was read elsewhere")
			time.Sleep(100 * time.Millisecond)
		}

		owner.catalog.Faults.Set(emulator.Switches{})
		fleet.all(emulator.EventFaults{})
		fleet.expectWhole(items)
	})
}

// mover is a custodian that brings its job into the service between a reader's
// two questions.
type mover struct {
	fleet *fleet
	job   bookkeeper.Job
}

func (mover *mover) Deposit(context.Context, bookkeeper.Job) bookkeeper.Outcome {
	return bookkeeper.NotDone
}

func (mover *mover) Holds(ctx context.Context, _ string) (bool, bool) {
	return false, bookkeeper.Restore(ctx, mover.fleet.gateways[0].client, mover.job) == bookkeeper.OK
}

// A job that a custodian brings into the service while it is asked for is not
// reported as missing.
func TestJobOnItsWayIsNotMissing(t *testing.T) {
	newFleet(t, 1, 1, func(fleet *fleet) {
		now := time.Now()
		fleet.gateways[0].batcher.Depositor = &mover{fleet: fleet, job: bookkeeper.Job{
			ID: jobID, Host: host, Submitted: now, Due: now.Add(time.Minute), GiveUp: now.Add(time.Minute),
			Items: []bookkeeper.Item{{ID: itemID(0), Target: "/batch/x"}},
		}}

		_, outcome := fleet.gateways[0].batcher.Read(context.Background(), jobID, 0, 0)
		require.Equal(t, bookkeeper.OK, outcome)
	})
}

// Many jobs that are done at once, or run at once, are written in transactions
// that the service takes.
func TestManyJobsFitIntoTransactions(t *testing.T) {
	const jobs = 40

	newFleet(t, 1, 8, func(fleet *fleet) {
		catalog := fleet.gateways[0].catalog

		for number := range jobs {
			require.Equal(t, bookkeeper.OK, fleet.submitsJob(0, fmt.Sprintf("job-%d", number), 1))
		}

		catalog.Faults.Set(emulator.Switches{Outage: true})
		time.Sleep(10 * time.Second)
		catalog.Faults.Set(emulator.Switches{})
		time.Sleep(10 * time.Second)

		for number := range jobs {
			reading, outcome := fleet.gateways[0].batcher.Read(context.Background(), fmt.Sprintf("job-%d", number), 0, 0)
			require.Equal(t, bookkeeper.OK, outcome)
			require.Len(t, reading.Results, 1, "job %d", number)
		}
	})
}

// The partial output of many jobs that run at once is saved, too.
func TestManyJobsAreSaved(t *testing.T) {
	const jobs = 24

	newFleet(t, 1, 8, func(fleet *fleet) {
		fleet.all(emulator.EventFaults{StallAfter: 7})

		for number := range jobs {
			require.Equal(t, bookkeeper.OK, fleet.submitsJob(0, fmt.Sprintf("job-%d", number), 1))
		}

		// Saving comes every 1.5 s; a silent stream is given up after one.
		time.Sleep(900 * time.Millisecond)

		ledger := bookkeeper.Ledger{Client: fleet.gateways[0].client}

		for number := range jobs {
			partials, err := ledger.Partials(context.Background(), fmt.Sprintf("job-%d", number))
			require.NoError(t, err)
			require.Len(t, partials, 1, "job %d", number)
		}
	})
}

// A job that comes again, also through other gateways, is accepted once.
func TestResentJobIsAcceptedOnce(t *testing.T) {
	newFleet(t, 3, 2, func(fleet *fleet) {
		for gateway := range 3 {
			require.Equal(t, bookkeeper.OK, fleet.submits(gateway, 5))
		}

		fleet.expectWhole(5)

		for gateway := range 3 {
			require.Equal(t, bookkeeper.OK, fleet.submits(gateway, 5))
		}

		time.Sleep(10 * time.Second)
		fleet.expectWhole(5)

		for number := range 5 {
			require.Equal(t, 1, fleet.runs(itemID(number)))
		}
	})
}

// An item that was interrupted goes on after its last event.
func TestInterruptedItemIsResumed(t *testing.T) {
	newFleet(t, 1, 2, func(fleet *fleet) {
		fleet.all(emulator.EventFaults{BreakAfter: 7})
		require.Equal(t, bookkeeper.OK, fleet.submits(0, 1))
		fleet.expectWhole(1)

		begun := []int{}
		for _, server := range fleet.servers {
			begun = append(begun, server.Resumed(itemID(0))...)
		}

		require.ElementsMatch(t, []int{-1, 6, 13}, begun)
	})
}

// What a dead owner had made and saved is not made again.
func TestNextOwnerGoesOnWhereTheFormerSaved(t *testing.T) {
	for name, end := range map[string]func(fleet *fleet){
		"killed":  func(fleet *fleet) { fleet.kill(0) },
		"stopped": func(fleet *fleet) { fleet.gateways[0].stop() },
	} {
		t.Run(name, func(t *testing.T) {
			newFleet(t, 2, 2, func(fleet *fleet) {
				for _, server := range fleet.servers {
					// An item takes four seconds.
					server.Gap = 200 * time.Millisecond
				}

				require.Equal(t, bookkeeper.OK, fleet.submits(0, 4))
				time.Sleep(3 * time.Second)
				end(fleet)

				fleet.gateways = fleet.gateways[1:]
				fleet.expectWhole(4)

				for number := range 4 {
					begun := []int{}
					for _, server := range fleet.servers {
						begun = append(begun, server.Resumed(itemID(number))...)
					}

					slices.Sort(begun)
					require.Equal(t, -1, begun[0])
					require.Greater(t, begun[1], 5, "at least half of three seconds was saved")
				}
			})
		})
	}
}

// Attempts that failed are known to the next owner: an item that always fails is
// not begun anew.
func TestFailedAttemptsAreKept(t *testing.T) {
	const attempts = 3

	newFleet(t, 2, 2, func(fleet *fleet) {
		fleet.all(emulator.EventFaults{Fail: http.StatusInternalServerError})
		require.Equal(t, bookkeeper.OK, fleet.submits(0, 1))

		for fleet.runs(itemID(0)) < attempts-1 {
			time.Sleep(10 * time.Millisecond)
		}

		// No further attempt is made, and what there is gets saved.
		fleet.gateways[0].placer.Update(nil)
		time.Sleep(2 * time.Second)
		fleet.kill(0)

		fleet.gateways = fleet.gateways[1:]
		time.Sleep(usual)

		results, _ := fleet.reads(0)
		require.Len(t, results, 1)
		require.Equal(t, bookkeeper.GivenUp, results[0].State)
		require.Equal(t, attempts, fleet.runs(itemID(0)))
	})
}

// Items that fail each time are given up after the route's attempts, others are
// done all the same.
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
				fleet.all(emulator.EventFaults{Fail: scenario.status})
				require.Equal(t, bookkeeper.OK, fleet.submits(0, 3))
				time.Sleep(20 * time.Second)

				results, _ := fleet.reads(1)
				require.Len(t, results, 3)

				for _, result := range results {
					require.Equal(t, bookkeeper.GivenUp, result.State)
					require.Equal(t, scenario.runs, fleet.runs(result.ID))
				}
			})
		})
	}
}

// An ended job starts no further item, whichever gateway was told.
func TestEndedJobStops(t *testing.T) {
	newFleet(t, 3, 1, func(fleet *fleet) {
		require.Equal(t, bookkeeper.OK, fleet.submits(0, 60))
		time.Sleep(700 * time.Millisecond)

		require.Equal(t, bookkeeper.OK, fleet.gateways[2].batcher.End(context.Background(), jobID))
		require.Equal(t, bookkeeper.OK, fleet.gateways[1].batcher.End(context.Background(), jobID))

		// The platform allows three seconds.
		time.Sleep(3 * time.Second)

		begun := fleet.servers[0].Total()
		require.Less(t, begun, 60)

		time.Sleep(20 * time.Second)
		require.Equal(t, begun, fleet.servers[0].Total())
	})
}

// While the service is away nothing is accepted, and what is unknown is not
// said to be absent.
func TestNothingIsClaimedWithoutTheService(t *testing.T) {
	newFleet(t, 1, 1, func(fleet *fleet) {
		fleet.gateways[0].catalog.Faults.Set(emulator.Switches{Outage: true})

		require.Equal(t, bookkeeper.NotDone, fleet.submits(0, 2))

		_, outcome := fleet.gateways[0].batcher.Read(context.Background(), jobID, 0, 0)
		require.Equal(t, bookkeeper.NotDone, outcome)

		fleet.gateways[0].catalog.Faults.Set(emulator.Switches{})
		time.Sleep(10 * time.Second)

		_, outcome = fleet.gateways[0].batcher.Read(context.Background(), jobID, 0, 0)
		require.Equal(t, bookkeeper.NotFound, outcome)
		require.Zero(t, fleet.servers[0].Total(), "a refused job does not run")
	})
}

// A submission whose answer was lost is unknown or accepted, never refused.
func TestLostAnswerOfASubmissionIsSettled(t *testing.T) {
	newFleet(t, 1, 2, func(fleet *fleet) {
		fleet.gateways[0].catalog.Faults.Set(emulator.Switches{DropAnswers: 2})
		require.Equal(t, bookkeeper.OK, fleet.submits(0, 2))
		fleet.expectWhole(2)
	})
}

// Items of a route that is no longer configured are given up and do not run.
func TestItemsWithoutARouteDoNotRun(t *testing.T) {
	newFleet(t, 1, 1, func(fleet *fleet) {
		fleet.configures(2, false)
		require.Equal(t, bookkeeper.OK, fleet.submits(0, 2))
		time.Sleep(5 * time.Second)

		results, _ := fleet.reads(0)
		require.Len(t, results, 2)
		require.Equal(t, bookkeeper.GivenUp, results[0].State)
		require.Zero(t, fleet.servers[0].Total())
	})
}

// The body of an item is the one that was sent, at every gateway.
func TestBodiesAreKept(t *testing.T) {
	newFleet(t, 2, 1, func(fleet *fleet) {
		require.Equal(t, bookkeeper.OK, fleet.submits(0, 3))

		for _, gateway := range fleet.gateways {
			body, outcome := gateway.batcher.Body(context.Background(), jobID, itemID(2))
			require.Equal(t, bookkeeper.OK, outcome)
			require.Equal(t, "body of job-2", string(body))

			_, outcome = gateway.batcher.Body(context.Background(), jobID, "other")
			require.Equal(t, bookkeeper.NotFound, outcome)
		}
	})
}

// What one gateway has shown, every other shows within a second.
func TestReadersOfAllGatewaysSeeTheSame(t *testing.T) {
	newFleet(t, 3, 1, func(fleet *fleet) {
		require.Equal(t, bookkeeper.OK, fleet.submits(0, 20))

		for range 100 {
			seen, _ := fleet.reads(0)

			time.Sleep(time.Second)

			for gateway := range fleet.gateways {
				results, _ := fleet.reads(gateway)
				require.GreaterOrEqual(t, len(results), len(seen))
				require.Equal(t, seen, results[:len(seen)])
			}

			if len(seen) == 20 {
				return
			}
		}

		require.Fail(t, "the job was not done")
	})
}

// Jobs are removed when their retention is over, and not before.
func TestOldJobsAreRemoved(t *testing.T) {
	newFleet(t, 2, 2, func(fleet *fleet) {
		require.Equal(t, bookkeeper.OK, fleet.submits(0, 2))
		fleet.expectWhole(2)

		time.Sleep(15 * time.Minute)
		fleet.expectWhole(2)

		time.Sleep(10 * time.Minute)

		_, outcome := fleet.gateways[1].batcher.Read(context.Background(), jobID, 0, 0)
		require.Equal(t, bookkeeper.NotFound, outcome)
	})
}

// A segment whose answer was lost may be read back before it is proposed again.
// It is then listed, and not proposed under the next number.
func TestSegmentThatWasReadBackIsNotProposedAgain(t *testing.T) {
	newFleet(t, 1, 1, func(fleet *fleet) {
		gateway := fleet.gateways[0]
		// A reader of an owner that is not certain reads the service.
		gateway.batcher.Certain = func() bool { return false }
		gateway.catalog.Late = 300 * time.Millisecond

		require.Equal(t, bookkeeper.OK, fleet.submits(0, 30))

		for range 40 {
			gateway.catalog.Faults.Set(emulator.Switches{DropAnswers: 1})
			time.Sleep(350 * time.Millisecond)
			fleet.reads(0)
		}

		gateway.catalog.Faults.Set(emulator.Switches{})
		fleet.expectWhole(30)
	})
}
