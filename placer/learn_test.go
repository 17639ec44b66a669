package placer_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/gauger"
	"limpetrail/kernel"
	"limpetrail/placer"
)

const (
	learnedService = "learned"
	learnedTarget  = 300 * time.Millisecond
)

// newLearningPlacer returns a placer with servers "fast", "usual" and "slow" of 8 places.
func newLearningPlacer(options ...placer.Option) *placer.Placer {
	subject, servers := placer.NewPlacer(kernel.NewDiscardCommon("entry-1"), options...), []placer.Server{}

	for _, id := range []string{"fast", "slow", "usual"} {
		servers = append(servers, placer.Server{ID: id, Service: learnedService, Places: 8})
	}

	subject.UpdateServers(servers)

	return subject
}

// measureRun has a server answer with events at its gap.
func measureRun(t *testing.T, subject *placer.Placer, gap map[string]time.Duration, last placer.Observation, exclude ...string) {
	t.Helper()

	decision := subject.Place(t.Context(), placer.Work{Service: learnedService, Exclude: exclude})
	require.Equal(t, placer.Placed, decision.Verdict)

	defer decision.Grant.Release()

	for range 10 {
		time.Sleep(gap[decision.Grant.Server.ID])
		decision.Grant.ObserveEvents(placer.Events{
			Count: 1, ArrivedAt: time.Now(), HandledAt: time.Now(), Targets: gauger.Targets{FirstEvent: learnedTarget, EventGap: learnedTarget},
		})
	}

	decision.Grant.Observe(last, 0)
}

func statusOf(subject *placer.Placer, id string) placer.ServerStatus {
	for _, status := range subject.Status() {
		if status.ID == id {
			return status
		}
	}

	return placer.ServerStatus{}
}

// A server that misses the targets when idle keeps one place and is passed over, at the entry that
// measured it and at one that got its reports. Without learning it would get a third of all work.
func TestSlowServerGetsLessWorkHereAndAtPeers(t *testing.T) {
	gaps := map[string]time.Duration{"fast": 20 * time.Millisecond, "usual": 30 * time.Millisecond, "slow": 350 * time.Millisecond}

	for name, scenario := range map[string]struct {
		options []placer.Option
		learns  bool
	}{
		"learning": {[]placer.Option{placer.WithGauger(gauger.NewGauger())}, true},
		"off":      {nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				subject, peer := newLearningPlacer(scenario.options...), newLearningPlacer(placer.WithGauger(gauger.NewGauger()))

				// A peer knows the targets of a service from its own requests.
				measureRun(t, peer, gaps, placer.Complete, "fast", "slow")

				for number := range 30 {
					ids := []string{"fast", "usual", "slow"}
					measureRun(t, subject, gaps, placer.Complete, slices.Delete(ids, number%3, number%3+1)...)
					peer.ApplyMeasures(subject.Measures())
				}

				require.Equal(t, scenario.learns, statusOf(subject, "slow").Pace > 2)

				if !scenario.learns {
					require.Empty(t, subject.Measures())
					require.Zero(t, statusOf(subject, "slow").LearnedPlaces)

					return
				}

				time.Sleep(time.Second / 5)

				for _, entry := range []*placer.Placer{subject, peer} {
					decision := entry.Place(t.Context(), placer.Work{Service: learnedService})
					require.NotEqual(t, "slow", decision.Grant.Server.ID)
					require.Equal(t, 1, statusOf(entry, "slow").LearnedPlaces)
					require.Equal(t, 8, statusOf(entry, "fast").LearnedPlaces)
				}
			})
		})
	}
}

// A caller that is refused comes back when a run of the learned length has ended, not of the
// length of runs that broke off at once.
func TestRetryAfterFollowsCompleteRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		subject := newLearningPlacer(placer.WithGauger(gauger.NewGauger()))
		usual, broken := 50*time.Millisecond, time.Millisecond

		for number := range 40 {
			gap, last := usual, placer.Complete
			if number%2 == 1 {
				gap, last = broken, placer.Failed
			}

			measureRun(t, subject, map[string]time.Duration{"fast": gap, "usual": gap, "slow": gap}, last)
		}

		refused := placer.Decision{}
		for refused.Verdict == placer.Placed {
			refused = subject.Place(t.Context(), placer.Work{Service: learnedService})
		}

		require.Equal(t, placer.Refused, refused.Verdict)
		require.InDelta(t, (10 * usual).Seconds(), refused.ExpectedWait.Seconds(), 0.1)
	})
}
