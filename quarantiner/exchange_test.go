package quarantiner_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/kernel"
	"limpetrail/quarantiner"
)

// learningTime is within how long after the fifth server ended all entries must keep the
// part away from servers.
const learningTime = 3 * time.Second

// load sends sound requests and requests with the deadly part "x" through all entries for
// the duration. It returns how many sound ones came, and how many were blocked.
func (fleet *fleet) load(duration, soundPause, deadlyPause time.Duration) (sent, blocked int) {
	ended := time.Now().Add(duration)

	fleet.calls.Go(func() {
		for time.Now().Before(ended) {
			fleet.calls.Go(func() { fleet.send(fleet.pickEntry(), 2, "a", "c", "x") })
			time.Sleep(deadlyPause)
		}
	})

	results := make(chan outcome, duration/soundPause+1)

	for time.Now().Before(ended) {
		fleet.calls.Go(func() { results <- fleet.send(fleet.pickEntry(), 2, "a", "c") })
		time.Sleep(soundPause)
	}

	fleet.calls.Wait()
	close(results)

	for result := range results {
		sent++

		if result.blocked {
			blocked++
		}
	}

	return sent, blocked
}

func (fleet *fleet) pickEntry() int {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()

	return fleet.random.IntN(len(fleet.entries))
}

// lateStrikes counts the requests with a deadly part that reached servers later than
// learningTime after the fifth.
func (fleet *fleet) lateStrikes() int {
	late := 0

	for _, at := range fleet.struck {
		if len(fleet.struck) > 5 && at.Sub(fleet.struck[4]) > learningTime {
			late++
		}
	}

	return late
}

// The evidence of all entries counts together, without the key-value service, while reports
// are lost, while servers also end by themselves, and however many entries there are. Sound
// requests that share all other parts are served.
func TestEntriesLearnOfADeadlyPartFromEachOther(t *testing.T) {
	for name, scenario := range map[string]struct {
		entries, servers int
		seeds            uint64
		soundPause       time.Duration
		deadlyPause      time.Duration
		lossShare        float64
		crashPause       time.Duration
	}{
		"one entry":                    {1, 12, 5, 20 * time.Millisecond, 500 * time.Millisecond, 0, time.Hour},
		"four entries":                 {4, 12, 5, 20 * time.Millisecond, 500 * time.Millisecond, 0.05, time.Hour},
		"few requests with the part":   {4, 12, 5, 20 * time.Millisecond, 4 * time.Second, 0.05, time.Hour},
		"many requests with the part":  {8, 44, 5, 10 * time.Millisecond, 50 * time.Millisecond, 0.05, time.Hour},
		"servers end by themselves":    {4, 12, 5, 20 * time.Millisecond, 500 * time.Millisecond, 0.05, 2 * time.Second},
		"few sound requests":           {4, 12, 5, time.Second, 500 * time.Millisecond, 0.05, 5 * time.Second},
		"half of the reports are lost": {8, 44, 5, 10 * time.Millisecond, 100 * time.Millisecond, 0.5, 5 * time.Second},
		"hundreds of entries":          {200, 400, 1, 2 * time.Millisecond, 20 * time.Millisecond, 0.05, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range scenario.seeds {
				synctest.Test(t, func(t *testing.T) {
					fleet := newFleet(t, seed, scenario.entries, scenario.servers)
					fleet.lossShare = scenario.lossShare
					fleet.setDeadly(true)

					background, stop := context.WithCancel(t.Context())

					fleet.calls.Go(func() {
						for kernel.Pause(background, scenario.crashPause) {
							if victim, _ := fleet.pickServer(); victim != nil {
								fleet.end(victim)
							}
						}
					})

					reports := make(chan struct{})

					go func() {
						defer close(reports)

						fleet.exchange(background)
					}()

					time.AfterFunc(19*time.Second, stop)

					sent, blocked := fleet.load(20*time.Second, scenario.soundPause, scenario.deadlyPause)
					<-reports

					require.LessOrEqual(t, fleet.lateStrikes(), 3, "seed %d: %d in all", seed, fleet.strikes())
					require.Positive(t, fleet.strikes())
					require.LessOrEqual(t, blocked, sent/20, "seed %d", seed)
				})
			}
		})
	}
}

// An entry that starts again learns from the others what it had forgotten, at once.
func TestRestartedEntryLearnsFromTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, 1, 4, 12)
		fleet.setDeadly(true)
		fleet.send(0, 2, "a", "x")

		defer fleet.startExchange()()

		time.Sleep(2 * time.Second)
		require.Equal(t, 4, fleet.blockedAt("x"))

		for number := range 4 {
			fleet.restart(number)

			time.Sleep(1200 * time.Millisecond)
			require.Equal(t, 4, fleet.blockedAt("x"), "entry %d", number)
		}
	})
}

// An answer anywhere frees the part everywhere, also where the strikes are known from
// others and are told on.
func TestSoundPartIsFreeAtAllEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, 1, 8, 12)
		fleet.lossShare = 0.3
		fleet.setDeadly(true)
		fleet.send(0, 2, "a", "x")

		defer fleet.startExchange()()

		time.Sleep(5 * time.Second)
		require.Equal(t, 8, fleet.blockedAt("x"))

		fleet.setDeadly(false)
		time.Sleep(30 * time.Second)
		require.Eventually(t, func() bool { return fleet.send(fleet.pickEntry(), 1, "x").begun }, 10*time.Second, 100*time.Millisecond)
		time.Sleep(2 * time.Second)
		require.Zero(t, fleet.blockedAt("x"))
		time.Sleep(10 * time.Second)
		require.Zero(t, fleet.blockedAt("x"), "old strikes do not come back")
	})
}

// An entry that heard nothing while a part was found to be sound learns it afterwards, from
// entries that no longer report it by themselves.
func TestEntryThatMissedTheAnswerLearnsOfIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, 1, 4, 12)
		fleet.setDeadly(true)
		fleet.send(0, 2, "a", "x")

		defer fleet.startExchange()()

		time.Sleep(2 * time.Second)
		require.Equal(t, 4, fleet.blockedAt("x"))

		fleet.setLossShare(1)
		fleet.setDeadly(false)
		time.Sleep(33 * time.Second)
		require.True(t, fleet.send(2, 1, "a", "x").begun)

		// Requests keep coming, so the others stay blocked until their own turns.
		for range 4 {
			time.Sleep(time.Second)
			fleet.send(2, 1, "a", "x")
		}

		fleet.setLossShare(0)
		time.Sleep(2 * time.Second)

		for number := range 4 {
			require.Empty(t, fleet.currentEntries()[number].Status(), "entry %d", number)
		}
	})
}

// When a part may be tried again, one entry of many does so.
func TestOneEntryOfManyTriesAPartAgain(t *testing.T) {
	for _, entries := range []int{4, 36} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newFleet(t, 1, entries, 44)
				fleet.lossShare = 0.05
				fleet.setDeadly(true)
				fleet.send(0, 2, "a", "x")

				defer fleet.startExchange()()

				time.Sleep(time.Second)

				before := fleet.strikes()

				for range 600 {
					fleet.calls.Go(func() { fleet.send(fleet.pickEntry(), 1, "a", "x") })
					time.Sleep(100 * time.Millisecond)
				}

				fleet.calls.Wait()
				require.Equal(t, before+1, fleet.strikes())
			})
		})
	}
}

// Findings of other programs and faulty entries change nothing.
func TestInvalidFindingsAreIgnored(t *testing.T) {
	for name, text := range map[string]string{
		"no part":               `[{"Service":"model","Strikes":[{"Server":"s1"},{"Server":"s2","SentAge":-1}]}]`,
		"answered before asked": `[{"Service":"model","Part":"x","Strikes":[{"Server":"s1","SentAge":1,"EndedAge":2},{"Server":"s2"}]}]`,
		"negative ages":         `[{"Service":"model","Part":"x","Strikes":[{"Server":"s1","SentAge":-5,"EndedAge":-9},{"Server":"s2"}]}]`,
		"negative depth":        `[{"Service":"model","Part":"x","Depth":-1,"Strikes":[{"Server":"s1","SentAge":3,"EndedAge":2},{"Server":"s2"}]}]`,
		"no trials":             `[{"Service":"model","Part":"x","FailedTrials":100000,"Strikes":[{"Server":"s1","SentAge":3,"EndedAge":2},{"Server":"s2"}]}]`,
	} {
		t.Run(name, func(t *testing.T) {
			findings := []quarantiner.Finding{}
			require.NoError(t, json.Unmarshal([]byte(text), &findings))

			subject := quarantiner.NewQuarantiner(kernel.NewDiscardCommon("entry-1"), &liveness{})
			subject.ApplyFindings("entry-2", findings)
			require.Empty(t, subject.Status())
		})
	}
}

// The findings of an entry that knows as much as it may fit a datagram with a load report.
func TestFindingsFitADatagram(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		alive := &liveness{}
		subject := quarantiner.NewQuarantiner(kernel.NewDiscardCommon("entry-1"), alive)

		for number := range 40 {
			for strike := range 4 {
				play(t, subject, alive, []step{ends(fmt.Sprintf("i-0123456789-%d-%d", number, strike), fmt.Sprintf("%032d", number))})
			}
		}

		encoded, err := json.Marshal(subject.Findings())
		require.NoError(t, err)
		require.Less(t, len(encoded), 16<<10)
	})
}

// Entries that do not reach each other learn by way of sidecars, which pass on with each
// answer what requests carried to them. The time hardly grows with the fleet.
func TestFindingsSpreadByWayOfSidecars(t *testing.T) {
	for _, entries := range []int{4, 200} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				// Each entry sends 4.5 requests a second, and has four sidecars.
				const requestPause = 220 * time.Millisecond

				fleet := newFleet(t, 1, entries, 12)
				fleet.setDeadly(true)

				sidecars := []*quarantiner.Quarantiner{}
				for number := range 4 * entries {
					sidecars = append(sidecars, quarantiner.NewQuarantiner(kernel.NewDiscardCommon(fmt.Sprintf("sidecar-%d", number)), nil))
				}

				fleet.send(0, 2, "a", "x")

				started := time.Now()
				for fleet.blockedAt("x") < entries && time.Since(started) < time.Minute {
					for number, entry := range fleet.entries {
						sidecar := sidecars[fleet.random.IntN(len(sidecars))]
						sidecar.DecodeFindings(fmt.Sprint(number), entry.EncodeFindings())
						entry.DecodeFindings("sidecar", sidecar.EncodeFindings())
					}

					time.Sleep(requestPause)
				}

				require.Less(t, time.Since(started), 10*time.Second)
			})
		})
	}
}

// Waiting requests at many entries are tried one at a time, also at the moment when no new
// ones have come for long enough, which is the same at all entries.
func TestWaitingRequestsOfManyEntriesAreTriedInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			entries  = 8
			duration = time.Minute
		)

		fleet := newFleet(t, 1, entries, 44)
		fleet.lossShare = 0.05
		fleet.setDeadly(true)
		fleet.send(0, 2, "a", "x")

		defer fleet.startExchange()()

		time.Sleep(time.Second)

		for range 40 {
			fleet.send(fleet.pickEntry(), 1, "a", "x")
			time.Sleep(200 * time.Millisecond)
		}

		// Not at the moment of a report, so that all look before they hear of a trial.
		time.Sleep(reportInterval / 2)

		before, ended := fleet.strikes(), time.Now().Add(duration)

		for number := range entries {
			fleet.calls.Go(func() {
				waiting := quarantiner.Request{ID: fmt.Sprint(number), Service: service, Parts: []string{"a", "x"}, Waiting: true}

				for time.Now().Before(ended) {
					block, blocked := fleet.currentEntries()[number].Check(waiting)
					if !blocked {
						chosen, identity := fleet.pickServer()
						fleet.run(number, waiting, chosen, identity)
					}

					time.Sleep(max(time.Millisecond, min(block.RetryAfter, 2*time.Second)))
				}
			})
		}

		fleet.calls.Wait()
		// Ten seconds until no new ones count as coming, then one trial in eight.
		require.LessOrEqual(t, fleet.strikes()-before, 7)
		require.GreaterOrEqual(t, fleet.strikes()-before, 4)

		for index := before + 1; index < len(fleet.struck); index++ {
			require.GreaterOrEqual(t, fleet.struck[index].Sub(fleet.struck[index-1]), downtime)
		}
	})
}
