package admitter_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/admitter"
	"limpetrail/classifier"
	"limpetrail/editor"
)

const (
	places   = 4
	interval = 20 * time.Millisecond
	patience = 10 * time.Second
)

// bench is an admitter under test and the requests that use it.
type bench struct {
	*testing.T
	admitter *admitter.Adaptive
	// ending is closed when the test is over and nobody needs to hold a place.
	ending chan struct{}
	group  sync.WaitGroup

	mutex sync.Mutex
	// entered lists the request IDs in order of their places.
	entered []string
}

// inBubble runs a test on an admitter of that many places, which learns no more
// than maxPlaces, and sees that no goroutine is left.
func inBubble(t *testing.T, policy admitter.Policy, maxPlaces int, run func(bench *bench)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		settings := admitter.DefaultSettings()
		settings.Places, settings.MaxPlaces, settings.Seed = places, maxPlaces, 7

		made := admitter.NewAdaptive(admitter.WithPolicy(policy), admitter.WithSettings(settings))
		bench := &bench{T: t, admitter: made, ending: make(chan struct{})}

		defer bench.group.Wait()
		defer close(bench.ending)

		run(bench)
	})
}

func noReserve() admitter.Policy {
	policy := admitter.DefaultPolicy()
	policy.Reserve = 0

	return policy
}

func online(id, firm string) admitter.Ticket {
	return admitter.Ticket{RequestID: id, Firm: firm, Deadline: time.Now().Add(patience)}
}

func batch(id string, due time.Duration) admitter.Ticket {
	ticket := admitter.Ticket{RequestID: id, Batch: true, Deadline: time.Now().Add(time.Hour)}
	if due > 0 {
		ticket.Due = time.Now().Add(due)
	}

	return ticket
}

// enter returns the place of a ticket that gets one at once.
func (bench *bench) enter(ticket admitter.Ticket) admitter.Place {
	bench.Helper()

	begin := time.Now()
	place, outcome := bench.admitter.Enter(bench.Context(), ticket)
	require.NotNil(bench, place, outcome.Reason)
	require.Zero(bench, time.Since(begin))

	return place
}

// started enters and has its first token, so that batch may follow.
func (bench *bench) started(ticket admitter.Ticket) admitter.Place {
	bench.Helper()

	place := bench.enter(ticket)
	place.Token()

	return place
}

// queue enters in a goroutine of its own; a place is kept for hold.
func (bench *bench) queue(ctx context.Context, ticket admitter.Ticket, hold time.Duration) <-chan classifier.Outcome {
	ended := make(chan classifier.Outcome, 1)

	ctx, cancel := context.WithCancel(ctx)

	bench.group.Go(func() {
		defer cancel()
		<-bench.ending
	})
	bench.group.Go(func() {
		place, outcome := bench.admitter.Enter(ctx, ticket)
		if place != nil {
			bench.enlist(ticket.RequestID)
			place.Token()

			select {
			case <-time.After(hold):
			case <-bench.ending:
			}

			place.Leave()
		}

		ended <- outcome
	})
	synctest.Wait()

	return ended
}

func isPreempted(place admitter.Place) bool {
	synctest.Wait()

	select {
	case <-place.Preempted():
		return true
	default:
		return false
	}
}

func (bench *bench) enlist(id string) {
	bench.mutex.Lock()
	defer bench.mutex.Unlock()

	bench.entered = append(bench.entered, id)
}

// ids returns the request IDs in order of their places.
func (bench *bench) ids() []string {
	bench.mutex.Lock()
	defer bench.mutex.Unlock()

	return append([]string{}, bench.entered...)
}

// occupy fills the limit with online requests of one firm, each for hold.
func (bench *bench) occupy(hold time.Duration) {
	for range places {
		bench.queue(bench.Context(), online("full", "full"), hold)
	}

	bench.mutex.Lock()
	defer bench.mutex.Unlock()

	bench.entered = nil
}

func TestCancelOfAWaitingTicket(t *testing.T) {
	for name, ticket := range map[string]func() admitter.Ticket{
		"online": func() admitter.Ticket { return online("1", "a") },
		"batch":  func() admitter.Ticket { return batch("1", 0) },
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, noReserve(), places, func(bench *bench) {
				bench.occupy(200 * time.Millisecond)

				ctx, cancel := context.WithCancel(bench.Context())
				ended := bench.queue(ctx, ticket(), time.Second)

				cancel()
				synctest.Wait()
				require.Equal(t, classifier.NotRun, (<-ended).Fate)
				require.Zero(t, bench.admitter.Report().QueuedOnline)
				time.Sleep(time.Second)
				require.Empty(t, bench.ids(), "a place went to a ticket that had left")
				require.Zero(t, bench.admitter.Report().RunningOnline)
			})
		})
	}
}

func TestLeaveTwiceGivesOnePlaceBack(t *testing.T) {
	inBubble(t, noReserve(), places, func(bench *bench) {
		bench.occupy(time.Minute)
		require.Equal(t, places, bench.admitter.Report().RunningOnline)

		other := admitter.NewAdaptive(admitter.WithPlaces(places))
		bench.admitter = other
		kept, left := bench.enter(online("1", "a")), bench.enter(online("2", "a"))

		left.Leave()
		left.Leave()
		require.Equal(t, 1, other.Report().RunningOnline)
		kept.Leave()
		require.Zero(t, other.Report().RunningOnline)
	})
}

func TestFirmsShareByWeight(t *testing.T) {
	policy := noReserve()
	policy.MaxWait = patience
	policy.Shares = map[string]int{"light": 2}

	inBubble(t, policy, places, func(bench *bench) {
		bench.occupy(100 * time.Millisecond)

		for range 12 {
			bench.queue(bench.Context(), online("heavy", "heavy"), time.Second)
		}

		for range 4 {
			bench.queue(bench.Context(), online("light", "light"), time.Second)
		}

		time.Sleep(200 * time.Millisecond)

		light := 0

		for _, id := range bench.ids() {
			if id == "light" {
				light++
			}
		}

		require.Equal(t, 3, light, "of the first four turns, by tags 0.5, 1, 1 and 1.5: %v", bench.ids())
	})
}

func TestPreemption(t *testing.T) {
	inBubble(t, noReserve(), places, func(bench *bench) {
		long, short, middle := bench.started(batch("long", 0)), bench.started(batch("short", 0)), bench.started(batch("middle", 0))

		for range 3 {
			long.Token()
		}

		middle.Token()

		first := bench.started(online("1", "a"))

		require.False(t, isPreempted(short), "there was room")

		for _, victim := range []admitter.Place{short, middle, long} {
			require.False(t, isPreempted(victim))
			bench.started(online("more", "a"))
			require.True(t, isPreempted(victim))
			victim.Leave()
		}

		require.Zero(t, bench.admitter.Report().RunningBatch)
		require.False(t, isPreempted(first), "online work is never taken back")
	})
}

func TestBatchTakesSlackOnly(t *testing.T) {
	tests := []struct {
		name   string
		policy admitter.Policy
		online int
		want   int
	}{
		{"all of an idle engine", noReserve(), 0, places},
		{"what online leaves", noReserve(), 3, 1},
		{"nothing beside a full engine", noReserve(), places, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inBubble(t, test.policy, places, func(bench *bench) {
				for range test.online {
					bench.started(online("1", "a"))
				}

				for range 2 * places {
					bench.queue(bench.Context(), batch("b", 0), time.Hour)
				}

				require.Equal(t, test.want, bench.admitter.Report().RunningBatch)
				bench.admitter.SetPolicy(admitter.Policy{Reserve: 1, TokenInterval: interval, FirstToken: time.Second, MaxWait: time.Second})
				require.Equal(t, test.want, bench.admitter.Report().RunningBatch, "a reserve takes nothing back")
			})
		})
	}
}

func TestBatchStartsAfterTheOnlineFirstToken(t *testing.T) {
	inBubble(t, noReserve(), places, func(bench *bench) {
		first := bench.enter(online("1", "a"))
		bench.queue(bench.Context(), batch("b", 0), time.Second)
		require.Empty(t, bench.ids())

		first.Token()
		synctest.Wait()
		require.Equal(t, []string{"b"}, bench.ids())

		// A place that reports no tokens holds batch back for a while only.
		bench.enter(online("2", "a"))
		bench.queue(bench.Context(), batch("c", 0), time.Second)
		require.Len(t, bench.ids(), 1)
		time.Sleep(time.Second)
		require.Len(t, bench.ids(), 2)
	})
}

func TestBatchOrder(t *testing.T) {
	inBubble(t, noReserve(), places, func(bench *bench) {
		for range places - 1 {
			bench.started(online("1", "a"))
		}

		bench.queue(bench.Context(), batch("first", 0), time.Second)

		for id, due := range map[string]time.Duration{"late": 3 * time.Hour, "soon": time.Hour, "never": 0, "middle": 2 * time.Hour} {
			bench.queue(bench.Context(), batch(id, due), time.Second)
		}

		time.Sleep(time.Minute)
		require.Equal(t, []string{"first", "soon", "middle", "late", "never"}, bench.ids())
	})
}

func TestAlone(t *testing.T) {
	inBubble(t, noReserve(), places, func(bench *bench) {
		beside := bench.started(batch("beside", 0))
		alone := batch("alone", time.Hour)
		alone.Alone = true

		bench.queue(bench.Context(), alone, time.Second)
		bench.queue(bench.Context(), batch("later", 0), time.Second)
		require.Empty(t, bench.ids(), "other batch runs")

		beside.Leave()
		synctest.Wait()
		require.Equal(t, []string{"alone"}, bench.ids())

		time.Sleep(2 * time.Second)
		require.Equal(t, []string{"alone", "later"}, bench.ids())
	})
}

func TestNewPolicy(t *testing.T) {
	made := admitter.NewPolicy(editor.Policy{FirstToken: editor.Duration(time.Second), Reserve: 0}, []editor.Firm{{Name: "a", Share: 3}})
	require.Equal(t, admitter.Policy{
		FirstToken:    time.Second,
		TokenInterval: admitter.DefaultPolicy().TokenInterval,
		MaxWait:       admitter.DefaultPolicy().MaxWait,
		Shares:        map[string]int{"a": 3},
	}, made)
}
