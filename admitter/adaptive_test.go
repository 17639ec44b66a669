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
	places         = 4
	tokenInterval  = 20 * time.Millisecond
	requestTimeout = 10 * time.Second
)

// fixture is an admitter under test and the requests that use it.
type fixture struct {
	*testing.T
	admitter *admitter.Adaptive
	// done is closed at the end of the test, so that all places are released.
	done       chan struct{}
	goroutines sync.WaitGroup

	mutex sync.Mutex
	// admitted lists the request IDs in the order in which they got places.
	admitted []string
}

// withFixture runs a test in a synctest bubble on an admitter with the initial
// limit places, which learns a limit of at most maxPlaces. It waits for all
// goroutines to end.
func withFixture(t *testing.T, policy admitter.Policy, maxPlaces int, run func(fixture *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		settings := admitter.DefaultSettings()
		settings.Places, settings.MaxPlaces, settings.Seed = places, maxPlaces, 7

		adaptive := admitter.NewAdaptive(admitter.WithPolicy(policy), admitter.WithSettings(settings))
		fixture := &fixture{T: t, admitter: adaptive, done: make(chan struct{})}

		defer fixture.goroutines.Wait()
		defer close(fixture.done)

		run(fixture)
	})
}

func noReserve() admitter.Policy {
	policy := admitter.DefaultPolicy()
	policy.Reserve = 0

	return policy
}

func online(id, firm string) admitter.PlaceRequest {
	return admitter.PlaceRequest{RequestID: id, Firm: firm, Deadline: time.Now().Add(requestTimeout)}
}

func batch(id string, due time.Duration) admitter.PlaceRequest {
	request := admitter.PlaceRequest{RequestID: id, Batch: true, Deadline: time.Now().Add(time.Hour)}
	if due > 0 {
		request.Due = time.Now().Add(due)
	}

	return request
}

// acquire returns the place of a request that is granted one at once.
func (fixture *fixture) acquire(request admitter.PlaceRequest) admitter.Place {
	fixture.Helper()

	begin := time.Now()
	place, outcome := fixture.admitter.Acquire(fixture.Context(), request)
	require.NotNil(fixture, place, outcome.Reason)
	require.Zero(fixture, time.Since(begin))

	return place
}

// acquireStarted acquires a place and records a first token, so that batch items
// may start.
func (fixture *fixture) acquireStarted(request admitter.PlaceRequest) admitter.Place {
	fixture.Helper()

	place := fixture.acquire(request)
	place.RecordToken()

	return place
}

// queue acquires a place in a goroutine of its own and holds it for the given
// time. The channel receives the outcome.
func (fixture *fixture) queue(ctx context.Context, request admitter.PlaceRequest, hold time.Duration) <-chan classifier.Outcome {
	ended := make(chan classifier.Outcome, 1)

	ctx, cancel := context.WithCancel(ctx)

	fixture.goroutines.Go(func() {
		defer cancel()
		<-fixture.done
	})
	fixture.goroutines.Go(func() {
		place, outcome := fixture.admitter.Acquire(ctx, request)
		if place != nil {
			fixture.recordAdmission(request.RequestID)
			place.RecordToken()

			select {
			case <-time.After(hold):
			case <-fixture.done:
			}

			place.Release()
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

func (fixture *fixture) recordAdmission(id string) {
	fixture.mutex.Lock()
	defer fixture.mutex.Unlock()

	fixture.admitted = append(fixture.admitted, id)
}

// admittedIDs returns the request IDs in the order in which they got places.
func (fixture *fixture) admittedIDs() []string {
	fixture.mutex.Lock()
	defer fixture.mutex.Unlock()

	return append([]string{}, fixture.admitted...)
}

// fillLimit fills the limit with online requests of one firm that each hold a
// place for the given time.
func (fixture *fixture) fillLimit(hold time.Duration) {
	for range places {
		fixture.queue(fixture.Context(), online("full", "full"), hold)
	}

	fixture.mutex.Lock()
	defer fixture.mutex.Unlock()

	fixture.admitted = nil
}

func TestCancelOfAWaitingRequest(t *testing.T) {
	for name, request := range map[string]func() admitter.PlaceRequest{
		"online": func() admitter.PlaceRequest { return online("1", "a") },
		"batch":  func() admitter.PlaceRequest { return batch("1", 0) },
	} {
		t.Run(name, func(t *testing.T) {
			withFixture(t, noReserve(), places, func(fixture *fixture) {
				fixture.fillLimit(200 * time.Millisecond)

				ctx, cancel := context.WithCancel(fixture.Context())
				ended := fixture.queue(ctx, request(), time.Second)

				cancel()
				synctest.Wait()
				require.Equal(t, classifier.NotRun, (<-ended).Fate)
				require.Zero(t, fixture.admitter.Report().QueuedOnline)
				time.Sleep(time.Second)
				require.Empty(t, fixture.admittedIDs(), "a cancelled request got a place")
				require.Zero(t, fixture.admitter.Report().RunningOnline)
			})
		})
	}
}

func TestReleaseTwiceFreesOnePlace(t *testing.T) {
	withFixture(t, noReserve(), places, func(fixture *fixture) {
		fixture.fillLimit(time.Minute)
		require.Equal(t, places, fixture.admitter.Report().RunningOnline)

		other := admitter.NewAdaptive(admitter.WithPlaces(places))
		fixture.admitter = other
		kept, released := fixture.acquire(online("1", "a")), fixture.acquire(online("2", "a"))

		released.Release()
		released.Release()
		require.Equal(t, 1, other.Report().RunningOnline)
		kept.Release()
		require.Zero(t, other.Report().RunningOnline)
	})
}

func TestFirmsShareByWeight(t *testing.T) {
	policy := noReserve()
	policy.MaxWait = requestTimeout
	policy.Shares = map[string]int{"light": 2}

	withFixture(t, policy, places, func(fixture *fixture) {
		fixture.fillLimit(100 * time.Millisecond)

		for range 12 {
			fixture.queue(fixture.Context(), online("heavy", "heavy"), time.Second)
		}

		for range 4 {
			fixture.queue(fixture.Context(), online("light", "light"), time.Second)
		}

		time.Sleep(200 * time.Millisecond)

		light := 0

		for _, id := range fixture.admittedIDs() {
			if id == "light" {
				light++
			}
		}

		require.Equal(t, 3, light, "of the first four places, by tags 0.5, 1, 1 and 1.5: %v", fixture.admittedIDs())
	})
}

func TestPreemption(t *testing.T) {
	withFixture(t, noReserve(), places, func(fixture *fixture) {
		long, short, middle := fixture.acquireStarted(batch("long", 0)), fixture.acquireStarted(batch("short", 0)), fixture.acquireStarted(batch("middle", 0))

		for range 3 {
			long.RecordToken()
		}

		middle.RecordToken()

		first := fixture.acquireStarted(online("1", "a"))

		require.False(t, isPreempted(short), "there was a free place")

		for _, victim := range []admitter.Place{short, middle, long} {
			require.False(t, isPreempted(victim))
			fixture.acquireStarted(online("more", "a"))
			require.True(t, isPreempted(victim))
			victim.Release()
		}

		require.Zero(t, fixture.admitter.Report().RunningBatch)
		require.False(t, isPreempted(first), "online requests are never preempted")
	})
}

func TestBatchUsesFreeCapacityOnly(t *testing.T) {
	tests := []struct {
		name   string
		policy admitter.Policy
		online int
		want   int
	}{
		{"whole idle engine", noReserve(), 0, places},
		{"places left by online requests", noReserve(), 3, 1},
		{"none on a full engine", noReserve(), places, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withFixture(t, test.policy, places, func(fixture *fixture) {
				for range test.online {
					fixture.acquireStarted(online("1", "a"))
				}

				for range 2 * places {
					fixture.queue(fixture.Context(), batch("b", 0), time.Hour)
				}

				require.Equal(t, test.want, fixture.admitter.Report().RunningBatch)
				fixture.admitter.SetPolicy(admitter.Policy{Reserve: 1, TokenInterval: tokenInterval, FirstToken: time.Second, MaxWait: time.Second})
				require.Equal(t, test.want, fixture.admitter.Report().RunningBatch, "a new reserve preempts nothing")
			})
		})
	}
}

func TestBatchStartsAfterTheOnlineFirstToken(t *testing.T) {
	withFixture(t, noReserve(), places, func(fixture *fixture) {
		first := fixture.acquire(online("1", "a"))
		fixture.queue(fixture.Context(), batch("b", 0), time.Second)
		require.Empty(t, fixture.admittedIDs())

		first.RecordToken()
		synctest.Wait()
		require.Equal(t, []string{"b"}, fixture.admittedIDs())

		// A place that reports no tokens delays batch for a limited time only.
		fixture.acquire(online("2", "a"))
		fixture.queue(fixture.Context(), batch("c", 0), time.Second)
		require.Len(t, fixture.admittedIDs(), 1)
		time.Sleep(time.Second)
		require.Len(t, fixture.admittedIDs(), 2)
	})
}

func TestBatchOrder(t *testing.T) {
	withFixture(t, noReserve(), places, func(fixture *fixture) {
		for range places - 1 {
			fixture.acquireStarted(online("1", "a"))
		}

		fixture.queue(fixture.Context(), batch("first", 0), time.Second)

		for id, due := range map[string]time.Duration{"late": 3 * time.Hour, "soon": time.Hour, "never": 0, "middle": 2 * time.Hour} {
			fixture.queue(fixture.Context(), batch(id, due), time.Second)
		}

		time.Sleep(time.Minute)
		require.Equal(t, []string{"first", "soon", "middle", "late", "never"}, fixture.admittedIDs())
	})
}

func TestItemThatRunsAlone(t *testing.T) {
	withFixture(t, noReserve(), places, func(fixture *fixture) {
		beside := fixture.acquireStarted(batch("beside", 0))
		alone := batch("alone", time.Hour)
		alone.Alone = true

		fixture.queue(fixture.Context(), alone, time.Second)
		fixture.queue(fixture.Context(), batch("later", 0), time.Second)
		require.Empty(t, fixture.admittedIDs(), "another batch item runs")

		beside.Release()
		synctest.Wait()
		require.Equal(t, []string{"alone"}, fixture.admittedIDs())

		time.Sleep(2 * time.Second)
		require.Equal(t, []string{"alone", "later"}, fixture.admittedIDs())
	})
}

func TestNewPolicy(t *testing.T) {
	policy := admitter.NewPolicy(editor.Policy{FirstToken: editor.Duration(time.Second), Reserve: 0}, []editor.Firm{{Name: "a", Share: 3}})
	require.Equal(t, admitter.Policy{
		FirstToken:    time.Second,
		TokenInterval: admitter.DefaultPolicy().TokenInterval,
		MaxWait:       admitter.DefaultPolicy().MaxWait,
		Shares:        map[string]int{"a": 3},
	}, policy)
}
