package claimer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/classifier"
	"limpetrail/emulator"
	"limpetrail/executor"
)

func TestResendThroughAnotherEntryReplaysTheAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, "replica-1", "replica-2")

		for _, entry := range []string{"entry-1", "entry-2", "entry-3"} {
			outcome, answer := send(fleet.entry(t, entry))
			requireAnswer(t, outcome, answer)
		}

		require.Equal(t, 1, fleet.executions())
	})
}

func TestSameKeyWithAnotherBodyConflicts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, "replica-1")
		entry := fleet.entry(t, "entry-1")
		send(entry)

		outcome := entry.Do(t.Context(), orderCall(`{"Machine":"lift"}`), "monday", &answerSink{})
		require.True(t, outcome.Conflict)
		require.Equal(t, classifier.NotRun, outcome.Fate)
		require.Equal(t, 1, fleet.executions())

		other := orderCall(`{"Machine":"lift"}`)
		other.Firm = "another"
		require.Equal(t, classifier.Answered, entry.Do(t.Context(), other, "monday", &answerSink{}).Fate, "each firm has its own keys")
	})
}

func TestClaimWriteAppliedButAnswerLost(t *testing.T) {
	tests := map[string]int{"one answer lost": 1, "every answer lost until the timeout": 1000}

	for name, dropped := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newFleet(t, "replica-1", "replica-2")
				fleet.store.Faults.Set(emulator.FaultSwitches{DropAnswers: dropped})

				first, answer := send(fleet.entry(t, "entry-1"))
				fleet.store.Faults.Set(emulator.FaultSwitches{})

				if dropped == 1 {
					requireAnswer(t, first, answer)
				} else {
					require.Equal(t, classifier.NotRun, first.Fate)
					require.Zero(t, fleet.executions())
				}

				second, answer := send(fleet.entry(t, "entry-2"))
				requireAnswer(t, second, answer)
				require.Equal(t, 1, fleet.executions())
			})
		})
	}
}

func TestTwoEntriesClaimAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, "replica-1", "replica-2", "replica-3")
		fleet.store.Faults.Set(emulator.FaultSwitches{Delay: 5 * time.Millisecond})

		results := make(chan callResult, 3)

		for _, name := range []string{"entry-1", "entry-2", "entry-3"} {
			entry := fleet.entry(t, name)

			go func() {
				outcome, answer := send(entry)
				results <- callResult{outcome, answer}
			}()
		}

		for range 3 {
			requireResult(t, <-results)
		}

		require.Equal(t, 1, fleet.executions())
	})
}

func TestPausedClaimantIsRevokedBeforeItsClaimIsTakenOver(t *testing.T) {
	tests := map[string]time.Duration{
		"short pause": time.Second,
		"long pause":  time.Minute,
		"pause longer than the sidecar retains the revocation": 3 * executor.DefaultSettings().Retain,
	}

	for name, pause := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newFleet(t, "replica-1", "replica-2")
				paused := fleet.entry(t, "entry-1")
				paused.beforeSend = func(string) { time.Sleep(pause) }

				results := make(chan callResult, 1)

				go func() {
					call := orderCall(orderBody)
					call.Deadline = time.Now().Add(2 * pause)
					answer := &answerSink{}
					outcome := paused.Do(context.Background(), call, "monday", answer)
					results <- callResult{outcome, answer}
				}()

				synctest.Wait()

				outcome, answer := send(fleet.entry(t, "entry-2"))
				requireAnswer(t, outcome, answer)
				requireResult(t, <-results)
				require.Equal(t, 1, fleet.executions())
			})
		})
	}
}

func TestClaimantsRevokingEachOtherRunTheRequestOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, "replica-1")
		results := make(chan callResult, 2)

		// The second takes over the claim of the first and is paused longer, so that
		// the first, when it resumes, takes the claim over again at the same replica.
		for name, pause := range map[string]time.Duration{"entry-1": time.Second, "entry-2": 10 * time.Second} {
			entry := fleet.entry(t, name)
			entry.beforeSend = func(string) { time.Sleep(pause) }

			time.AfterFunc(pause/20, func() {
				outcome, answer := send(entry)
				results <- callResult{outcome, answer}
			})
		}

		requireResult(t, <-results)
		requireResult(t, <-results)
		require.Equal(t, 1, fleet.executions())
	})
}

func TestRunningAttemptIsJoined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, "replica-1")
		service := fleet.sidecars["replica-1"].service
		service.Faults.Set(emulator.FaultSwitches{Delay: 10 * time.Second})

		results := make(chan callResult, 1)

		go func() {
			outcome, answer := send(fleet.entry(t, "entry-1"))
			results <- callResult{outcome, answer}
		}()

		time.Sleep(5 * time.Second)

		outcome, answer := send(fleet.entry(t, "entry-2"))
		requireAnswer(t, outcome, answer)
		requireResult(t, <-results)
		require.Equal(t, 1, fleet.executions())
	})
}

func TestSilentConnectionIsReplaced(t *testing.T) {
	tests := map[string]struct{ toSidecar, fromSidecar bool }{
		"to the sidecar":   {toSidecar: true},
		"from the sidecar": {fromSidecar: true},
		"both ways":        {toSidecar: true, fromSidecar: true},
	}

	for name, test := range tests {
		for moment, delay := range map[string]time.Duration{"before the request": 0, "while it runs": 5 * time.Second} {
			t.Run(name+" "+moment, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					fleet := newFleet(t, "replica-1", "replica-2")
					entry := fleet.entry(t, "entry-1")
					entry.Do(t.Context(), orderCall(orderBody), "sunday", &answerSink{})

					for _, sidecar := range fleet.sidecars {
						sidecar.service.Faults.Set(emulator.FaultSwitches{Delay: 10 * time.Second})
						time.AfterFunc(delay, func() { sidecar.silence(test.toSidecar, test.fromSidecar) })
					}

					if delay == 0 {
						synctest.Wait()
					}

					outcome, answer := send(entry)
					require.Equal(t, classifier.Answered, outcome.Fate, outcome.Reason)
					require.Contains(t, answer.body.String(), `"Bytes":23}`)
					require.Equal(t, 1, answer.endCalls)
					require.Equal(t, 2, fleet.executions())
				})
			})
		}
	}
}

func TestLostSidecarLeavesTheOutcomeUnknown(t *testing.T) {
	const running = 10 * time.Second

	tests := map[string]struct {
		lose func(fleet *fleet)
		// restore undoes the loss; it is nil if that is impossible.
		restore func(fleet *fleet)
	}{
		"restarted": {lose: func(fleet *fleet) { fleet.restart("replica-1") }},
		"unreachable": {
			lose:    func(fleet *fleet) { fleet.sidecars["replica-1"].setDown(true) },
			restore: func(fleet *fleet) { fleet.sidecars["replica-1"].setDown(false) },
		},
	}

	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newFleet(t, "replica-1")
				fleet.sidecars["replica-1"].service.Faults.Set(emulator.FaultSwitches{Delay: running})

				first := make(chan Outcome, 1)

				go func() {
					outcome, _ := send(fleet.entry(t, "entry-1"))
					first <- outcome
				}()

				time.Sleep(running / 2)
				test.lose(fleet)
				require.Equal(t, classifier.MayHaveRun, (<-first).Fate)

				outcome, _ := send(fleet.entry(t, "entry-2"))
				require.Equal(t, classifier.MayHaveRun, outcome.Fate)

				time.Sleep(running)

				if test.restore != nil {
					test.restore(fleet)

					outcome, answer := send(fleet.entry(t, "entry-2"))
					requireAnswer(t, outcome, answer)
				}

				require.Equal(t, 1, fleet.executions())
			})
		})
	}
}

func TestKeyValueServiceDown(t *testing.T) {
	t.Run("before the claim", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			fleet := newFleet(t, "replica-1")
			fleet.store.Faults.Set(emulator.FaultSwitches{Outage: true})

			started := time.Now()
			outcome, _ := send(fleet.entry(t, "entry-1"))
			require.Equal(t, classifier.NotRun, outcome.Fate)
			require.Positive(t, outcome.RetryAfter)
			require.Zero(t, time.Since(started), "the request is refused without a delay")
			require.Zero(t, fleet.executions())
		})
	})

	for name, fault := range map[string]emulator.FaultSwitches{"outage": {Outage: true}, "freeze": {Freeze: true}} {
		t.Run("between claim and result: "+name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newFleet(t, "replica-1")
				entry := fleet.entry(t, "entry-1")
				entry.beforeSend = func(string) { fleet.store.Faults.Set(fault) }

				started := time.Now()
				outcome, answer := send(entry)
				requireAnswer(t, outcome, answer)
				require.LessOrEqual(t, time.Since(started), DefaultSettings().ResultWait)

				time.Sleep(time.Minute)
				fleet.store.Faults.Set(emulator.FaultSwitches{})
				entry.Wait()

				// The restarted sidecar has no answer, so it must come from the claim.
				fleet.restart("replica-1")
				outcome, answer = send(fleet.entry(t, "entry-2"))
				requireAnswer(t, outcome, answer)
				require.Equal(t, 1, fleet.executions())
			})
		})
	}
}

func TestUnrecordedResultIsReadFromTheSidecar(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, "replica-1")
		settings := DefaultSettings()
		settings.RecordFor = settings.ResultWait
		entry := fleet.entry(t, "entry-1", WithSettings(settings))
		entry.beforeSend = func(string) { fleet.store.Faults.Set(emulator.FaultSwitches{Outage: true}) }

		outcome, answer := send(entry)
		requireAnswer(t, outcome, answer)
		entry.Wait()
		fleet.store.Faults.Set(emulator.FaultSwitches{})

		// The copy reads the answer from the sidecar and records it.
		outcome, answer = send(fleet.entry(t, "entry-2"))
		requireAnswer(t, outcome, answer)
		fleet.restart("replica-1")
		outcome, answer = send(fleet.entry(t, "entry-3"))
		requireAnswer(t, outcome, answer)
		require.Equal(t, 1, fleet.executions())
	})
}

func TestRequestContinuesAfterItsCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, "replica-1")
		fleet.sidecars["replica-1"].service.Faults.Set(emulator.FaultSwitches{Delay: time.Second})

		ctx, disconnect := context.WithCancel(t.Context())
		time.AfterFunc(time.Second/2, disconnect)
		fleet.entry(t, "entry-1").Do(ctx, orderCall(orderBody), "monday", &answerSink{disconnected: true})

		fleet.restart("replica-1")
		outcome, answer := send(fleet.entry(t, "entry-2"))
		requireAnswer(t, outcome, answer)
		require.Equal(t, 1, fleet.executions())
	})
}

func TestRefusedAttemptReleasesItsKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, "replica-1", "replica-2")
		for _, sidecar := range fleet.sidecars {
			sidecar.executor.Drain()
		}

		outcome, _ := send(fleet.entry(t, "entry-1"))
		require.Equal(t, classifier.NotRun, outcome.Fate)

		fleet.restart("replica-1")

		// The key is free again, also for a different request.
		outcome = fleet.entry(t, "entry-2").Do(t.Context(), orderCall(`{"Machine":"lift"}`), "monday", &answerSink{})
		require.Equal(t, classifier.Answered, outcome.Fate, outcome.Reason)
		require.Equal(t, 1, fleet.executions())
	})
}

func TestOutageAfterATakeoverIsNotReportedAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, "replica-1")
		paused := fleet.entry(t, "entry-1")
		paused.beforeSend = func(string) { time.Sleep(time.Second) }

		first := make(chan Outcome, 1)

		go func() {
			outcome, _ := send(paused)
			first <- outcome
		}()

		synctest.Wait()
		outcome, answer := send(fleet.entry(t, "entry-2"))
		requireAnswer(t, outcome, answer)
		fleet.store.Faults.Set(emulator.FaultSwitches{Outage: true})

		require.Equal(t, classifier.MayHaveRun, (<-first).Fate)
	})
}

func TestStaleIncarnationIsCorrected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, "replica-1")
		entry := fleet.entry(t, "entry-1")
		entry.Do(t.Context(), orderCall(orderBody), "sunday", &answerSink{})
		fleet.restart("replica-1")
		// The entry notices that the idle connection is closed and opens a new one.
		synctest.Wait()

		outcome, _ := send(entry)
		require.Equal(t, classifier.Answered, outcome.Fate, outcome.Reason)
		require.Equal(t, 2, fleet.executions())
	})
}
