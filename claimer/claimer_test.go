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

		require.Equal(t, 1, fleet.acts())
	})
}

func TestSameKeyWithAnotherBodyConflicts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, "replica-1")
		entry := fleet.entry(t, "entry-1")
		send(entry)

		outcome := entry.Do(t.Context(), orderCall(`{"Machine":"lift"}`), "monday", &read{})
		require.True(t, outcome.Conflict)
		require.Equal(t, classifier.NotRun, outcome.Fate)
		require.Equal(t, 1, fleet.acts())

		other := orderCall(`{"Machine":"lift"}`)
		other.Firm = "another"
		require.Equal(t, classifier.Answered, entry.Do(t.Context(), other, "monday", &read{}).Fate, "keys of firms are apart")
	})
}

func TestClaimWriteAppliedButAnswerLost(t *testing.T) {
	tests := map[string]int{"one answer lost": 1, "every answer lost until the timeout": 1000}

	for name, drops := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newFleet(t, "replica-1", "replica-2")
				fleet.store.Faults.Set(emulator.Switches{DropAnswers: drops})

				first, answer := send(fleet.entry(t, "entry-1"))
				fleet.store.Faults.Set(emulator.Switches{})

				if drops == 1 {
					requireAnswer(t, first, answer)
				} else {
					require.Equal(t, classifier.NotRun, first.Fate)
					require.Zero(t, fleet.acts())
				}

				second, answer := send(fleet.entry(t, "entry-2"))
				requireAnswer(t, second, answer)
				require.Equal(t, 1, fleet.acts())
			})
		})
	}
}

func TestTwoEntriesClaimAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, "replica-1", "replica-2", "replica-3")
		fleet.store.Faults.Set(emulator.Switches{Delay: 5 * time.Millisecond})

		done := make(chan told, 3)

		for _, name := range []string{"entry-1", "entry-2", "entry-3"} {
			entry := fleet.entry(t, name)

			go func() {
				outcome, answer := send(entry)
				done <- told{outcome, answer}
			}()
		}

		for range 3 {
			requireTold(t, <-done)
		}

		require.Equal(t, 1, fleet.acts())
	})
}

func TestPausedClaimantIsRevokedBeforeItsClaimIsTakenOver(t *testing.T) {
	tests := map[string]time.Duration{
		"it wakes soon":                time.Second,
		"it wakes later":               time.Minute,
		"its revocation was forgotten": 3 * executor.DefaultSettings().Retain,
	}

	for name, pause := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newFleet(t, "replica-1", "replica-2")
				paused := fleet.entry(t, "entry-1")
				paused.beforeSend = func(string) { time.Sleep(pause) }

				done := make(chan told, 1)

				go func() {
					call := orderCall(orderBody)
					call.Deadline = time.Now().Add(2 * pause)
					answer := &read{}
					outcome := paused.Do(context.Background(), call, "monday", answer)
					done <- told{outcome, answer}
				}()

				synctest.Wait()

				outcome, answer := send(fleet.entry(t, "entry-2"))
				requireAnswer(t, outcome, answer)
				requireTold(t, <-done)
				require.Equal(t, 1, fleet.acts())
			})
		})
	}
}

func TestClaimantsThatRevokeEachOtherRunTheOrderOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, "replica-1")
		done := make(chan told, 2)

		// The second takes over from the first and is paused longer, so that
		// the first, once awake, takes over in its turn at the same replica.
		for name, pause := range map[string]time.Duration{"entry-1": time.Second, "entry-2": 10 * time.Second} {
			entry := fleet.entry(t, name)
			entry.beforeSend = func(string) { time.Sleep(pause) }

			time.AfterFunc(pause/20, func() {
				outcome, answer := send(entry)
				done <- told{outcome, answer}
			})
		}

		requireTold(t, <-done)
		requireTold(t, <-done)
		require.Equal(t, 1, fleet.acts())
	})
}

func TestRunningAttemptIsJoined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, "replica-1")
		service := fleet.sidecars["replica-1"].service
		service.Faults.Set(emulator.Switches{Delay: 10 * time.Second})

		done := make(chan told, 1)

		go func() {
			outcome, answer := send(fleet.entry(t, "entry-1"))
			done <- told{outcome, answer}
		}()

		time.Sleep(5 * time.Second)

		outcome, answer := send(fleet.entry(t, "entry-2"))
		requireAnswer(t, outcome, answer)
		requireTold(t, <-done)
		require.Equal(t, 1, fleet.acts())
	})
}

func TestSilentConnectionIsLeftForANewOne(t *testing.T) {
	tests := map[string]struct{ to, from bool }{
		"to the sidecar":   {to: true},
		"from the sidecar": {from: true},
		"both ways":        {to: true, from: true},
	}

	for name, test := range tests {
		for moment, after := range map[string]time.Duration{"before the order": 0, "while it runs": 5 * time.Second} {
			t.Run(name+" "+moment, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					fleet := newFleet(t, "replica-1", "replica-2")
					entry := fleet.entry(t, "entry-1")
					entry.Do(t.Context(), orderCall(orderBody), "sunday", &read{})

					for _, sidecar := range fleet.sidecars {
						sidecar.service.Faults.Set(emulator.Switches{Delay: 10 * time.Second})
						time.AfterFunc(after, func() { sidecar.silence(test.to, test.from) })
					}

					if after == 0 {
						synctest.Wait()
					}

					outcome, answer := send(entry)
					require.Equal(t, classifier.Answered, outcome.Fate, outcome.Reason)
					require.Contains(t, answer.body.String(), `"Bytes":23}`)
					require.Equal(t, 1, answer.ended)
					require.Equal(t, 2, fleet.acts())
				})
			})
		}
	}
}

func TestLostSidecarLeavesTheRequestUnsettled(t *testing.T) {
	const running = 10 * time.Second

	tests := map[string]struct {
		lose func(fleet *fleet)
		// back undoes the loss where that is possible.
		back func(fleet *fleet)
	}{
		"restarted": {lose: func(fleet *fleet) { fleet.restart("replica-1") }},
		"unreachable": {
			lose: func(fleet *fleet) { fleet.sidecars["replica-1"].setDown(true) },
			back: func(fleet *fleet) { fleet.sidecars["replica-1"].setDown(false) },
		},
	}

	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newFleet(t, "replica-1")
				fleet.sidecars["replica-1"].service.Faults.Set(emulator.Switches{Delay: running})

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

				if test.back != nil {
					test.back(fleet)

					outcome, answer := send(fleet.entry(t, "entry-2"))
					requireAnswer(t, outcome, answer)
				}

				require.Equal(t, 1, fleet.acts())
			})
		})
	}
}

func TestServiceDown(t *testing.T) {
	t.Run("before the claim", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			fleet := newFleet(t, "replica-1")
			fleet.store.Faults.Set(emulator.Switches{Outage: true})

			began := time.Now()
			outcome, _ := send(fleet.entry(t, "entry-1"))
			require.Equal(t, classifier.NotRun, outcome.Fate)
			require.Positive(t, outcome.RetryAfter)
			require.Zero(t, time.Since(began), "a refusal waits for nothing")
			require.Zero(t, fleet.acts())
		})
	})

	for name, fault := range map[string]emulator.Switches{"outage": {Outage: true}, "freeze": {Freeze: true}} {
		t.Run("between claim and result: "+name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newFleet(t, "replica-1")
				entry := fleet.entry(t, "entry-1")
				entry.beforeSend = func(string) { fleet.store.Faults.Set(fault) }

				began := time.Now()
				outcome, answer := send(entry)
				requireAnswer(t, outcome, answer)
				require.LessOrEqual(t, time.Since(began), DefaultSettings().ResultWait)

				time.Sleep(time.Minute)
				fleet.store.Faults.Set(emulator.Switches{})
				entry.Wait()

				// The record alone must be enough now.
				fleet.restart("replica-1")
				outcome, answer = send(fleet.entry(t, "entry-2"))
				requireAnswer(t, outcome, answer)
				require.Equal(t, 1, fleet.acts())
			})
		})
	}
}

func TestResultWriteLostForGoodIsReadAtTheSidecar(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, "replica-1")
		settings := DefaultSettings()
		settings.RecordFor = settings.ResultWait
		entry := fleet.entry(t, "entry-1", WithSettings(settings))
		entry.beforeSend = func(string) { fleet.store.Faults.Set(emulator.Switches{Outage: true}) }

		outcome, answer := send(entry)
		requireAnswer(t, outcome, answer)
		entry.Wait()
		fleet.store.Faults.Set(emulator.Switches{})

		// The copy finds it at the sidecar and records it.
		outcome, answer = send(fleet.entry(t, "entry-2"))
		requireAnswer(t, outcome, answer)
		fleet.restart("replica-1")
		outcome, answer = send(fleet.entry(t, "entry-3"))
		requireAnswer(t, outcome, answer)
		require.Equal(t, 1, fleet.acts())
	})
}

func TestCallerLeavesAndTheOrderGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, "replica-1")
		fleet.sidecars["replica-1"].service.Faults.Set(emulator.Switches{Delay: time.Second})

		ctx, leave := context.WithCancel(t.Context())
		time.AfterFunc(time.Second/2, leave)
		fleet.entry(t, "entry-1").Do(ctx, orderCall(orderBody), "monday", &read{gone: true})

		fleet.restart("replica-1")
		outcome, answer := send(fleet.entry(t, "entry-2"))
		requireAnswer(t, outcome, answer)
		require.Equal(t, 1, fleet.acts())
	})
}

func TestRefusedAttemptMovesOrFreesTheKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, "replica-1", "replica-2")
		for _, sidecar := range fleet.sidecars {
			sidecar.executor.Drain()
		}

		outcome, _ := send(fleet.entry(t, "entry-1"))
		require.Equal(t, classifier.NotRun, outcome.Fate)

		fleet.restart("replica-1")

		// The key is free again, also for another order.
		outcome = fleet.entry(t, "entry-2").Do(t.Context(), orderCall(`{"Machine":"lift"}`), "monday", &read{})
		require.Equal(t, classifier.Answered, outcome.Fate, outcome.Reason)
		require.Equal(t, 1, fleet.acts())
	})
}

func TestOutageAfterATakeoverIsNotToldAsNotRun(t *testing.T) {
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
		fleet.store.Faults.Set(emulator.Switches{Outage: true})

		require.Equal(t, classifier.MayHaveRun, (<-first).Fate)
	})
}

func TestStaleIncarnationIsCorrected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, "replica-1")
		entry := fleet.entry(t, "entry-1")
		entry.Do(t.Context(), orderCall(orderBody), "sunday", &read{})
		fleet.restart("replica-1")
		// The idle connection is seen to be closed, so the next one is new.
		synctest.Wait()

		outcome, _ := send(entry)
		require.Equal(t, classifier.Answered, outcome.Fate, outcome.Reason)
		require.Equal(t, 2, fleet.acts())
	})
}
