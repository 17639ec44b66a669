package puller_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"limpetrail/executor"
	"limpetrail/kernel"
	"limpetrail/messenger"
	"limpetrail/puller"
)

// fakeEntries is an EntryClient with prepared items that counts the results.
type fakeEntries struct {
	mutex sync.Mutex
	// pulls holds the items of each reply to Pull, by entry.
	pulls map[string][][]*messenger.Item
	// fateCounts counts the results by fate.
	fateCounts map[messenger.Fate]int
	// resultCounts counts the results by entry. notOwner names the entries that
	// own no job, down those that don't answer.
	resultCounts   map[string]int
	notOwner, down map[string]bool
}

func (entries *fakeEntries) Pull(_ context.Context, entry puller.Entry, _ *messenger.PullRequest) (*messenger.PullReply, error) {
	entries.mutex.Lock()
	defer entries.mutex.Unlock()

	pulls := entries.pulls[entry.Name]
	if len(pulls) == 0 {
		return &messenger.PullReply{}, nil
	}

	entries.pulls[entry.Name] = pulls[1:]

	return &messenger.PullReply{Items: pulls[0]}, nil
}

func (entries *fakeEntries) Complete(_ context.Context, entry puller.Entry, request *messenger.CompleteRequest) (*messenger.CompleteReply, error) {
	entries.mutex.Lock()
	defer entries.mutex.Unlock()

	switch {
	case entries.down[entry.Name]:
		return nil, errors.New("no answer")
	case entries.notOwner[entry.Name]:
		return &messenger.CompleteReply{UnknownJobIds: []string{"job"}}, nil
	}

	entries.resultCounts[entry.Name] += len(request.GetResults())
	for _, result := range request.GetResults() {
		entries.fateCounts[result.GetFate()]++
	}

	return &messenger.CompleteReply{}, nil
}

// concurrencyRunner takes a second for each item and records how many items run at
// once.
type concurrencyRunner struct {
	mutex   sync.Mutex
	running map[string]bool
	// maxConcurrent is the maximum number of items that ran at once with the
	// item, by request ID.
	maxConcurrent map[string]int
}

func (runner *concurrencyRunner) Do(_ context.Context, request *messenger.ExecuteRequest) executor.Answer {
	runner.mutex.Lock()
	runner.running[request.GetRequestId()] = true

	for id := range runner.running {
		runner.maxConcurrent[id] = max(runner.maxConcurrent[id], len(runner.running))
	}
	runner.mutex.Unlock()

	time.Sleep(time.Second)

	runner.mutex.Lock()
	defer runner.mutex.Unlock()

	delete(runner.running, request.GetRequestId())

	return executor.Answer{LastFrame: &messenger.Frame{Fate: messenger.Fate_FATE_ANSWERED}}
}

func newItems(first, count int, alone bool) []*messenger.Item {
	created := []*messenger.Item{}
	for index := first; index < first+count; index++ {
		created = append(created, &messenger.Item{
			JobId: "job", Index: uint32(index), Alone: alone,
			Request: &messenger.ExecuteRequest{RequestId: string(rune('a' + index))},
		})
	}

	return created
}

func startPuller(t *testing.T, entries *fakeEntries) *concurrencyRunner {
	t.Helper()

	entries.resultCounts, entries.fateCounts = map[string]int{}, map[messenger.Fate]int{}
	running := &concurrencyRunner{running: map[string]bool{}, maxConcurrent: map[string]int{}}
	listEntries := func() []puller.Entry { return []puller.Entry{{Name: "entry-1"}, {Name: "entry-2"}} }
	fetcher := puller.NewPuller(kernel.NewDiscardCommon("sidecar-1"), "briefing", running, entries, listEntries, func() int { return 8 })

	go fetcher.Run(t.Context())

	return running
}

func TestSuspectItemRunsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		entries := &fakeEntries{pulls: map[string][][]*messenger.Item{"entry-1": {newItems(0, 4, false), newItems(4, 1, true), newItems(5, 4, false)}}}
		runner := startPuller(t, entries)
		time.Sleep(time.Minute)
		synctest.Wait()

		require.Equal(t, 9, entries.resultCounts["entry-1"])
		require.Equal(t, 1, runner.maxConcurrent["e"])
		require.Equal(t, 4, runner.maxConcurrent["a"])
	})
}

func TestResultsReachCurrentJobOwner(t *testing.T) {
	cases := map[string]*fakeEntries{
		"the first owner is down":                {down: map[string]bool{"entry-1": true}},
		"the first owner no longer owns the job": {notOwner: map[string]bool{"entry-1": true}},
	}

	for name, entries := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				entries.pulls = map[string][][]*messenger.Item{"entry-1": {newItems(0, 4, false)}}
				startPuller(t, entries)
				time.Sleep(time.Minute)
				synctest.Wait()
				require.Equal(t, 4, entries.resultCounts["entry-2"])
			})
		})
	}
}

// blockingRunner runs each item for an hour, or until it is stopped.
type blockingRunner struct{}

func (blockingRunner) Do(ctx context.Context, request *messenger.ExecuteRequest) executor.Answer {
	// Like the executor, only an idempotent item ends with its context.
	if !request.GetIdempotent() {
		ctx = context.WithoutCancel(ctx)
	}

	select {
	case <-time.After(time.Hour):
		return executor.Answer{LastFrame: &messenger.Frame{Fate: messenger.Fate_FATE_ANSWERED}}
	case <-ctx.Done():
		return executor.Answer{LastFrame: &messenger.Frame{Fate: messenger.Fate_FATE_MAY_HAVE_RUN}}
	}
}

func TestShutdownReturnsIdempotentItemsAtOnce(t *testing.T) {
	for name, scenario := range map[string]struct {
		idempotent  bool
		fate        messenger.Fate
		maxDuration time.Duration
	}{
		"idempotent items are returned": {idempotent: true, fate: messenger.Fate_FATE_QUEUED, maxDuration: time.Second},
		"the others finish":             {fate: messenger.Fate_FATE_ANSWERED, maxDuration: time.Hour + time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				pulled := newItems(0, 4, false)
				for _, item := range pulled {
					item.Request.Idempotent = scenario.idempotent
				}

				entries := &fakeEntries{
					pulls:        map[string][][]*messenger.Item{"entry-1": {pulled}},
					resultCounts: map[string]int{},
					fateCounts:   map[messenger.Fate]int{},
				}
				listEntries := func() []puller.Entry { return []puller.Entry{{Name: "entry-1"}} }
				fetcher := puller.NewPuller(kernel.NewDiscardCommon("sidecar-1"), "briefing", blockingRunner{}, entries, listEntries, func() int { return 8 })
				ctx, stop := context.WithCancel(t.Context())
				done := make(chan struct{})

				go func() {
					fetcher.Run(ctx)
					close(done)
				}()

				time.Sleep(10 * time.Second)

				stopped := time.Now()

				stop()
				<-done

				require.LessOrEqual(t, time.Since(stopped), scenario.maxDuration)
				require.Equal(t, map[messenger.Fate]int{scenario.fate: 4}, entries.fateCounts)
			})
		})
	}
}

// Results that were recorded while a heartbeat was sent were read without the lock.
func TestItemsFinishWhileAHeartbeatIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		entries := &fakeEntries{pulls: map[string][][]*messenger.Item{"entry-1": {newItems(0, 4, false)}}}
		entries.resultCounts, entries.fateCounts = map[string]int{}, map[messenger.Fate]int{}
		listEntries := func() []puller.Entry { return []puller.Entry{{Name: "entry-1"}} }
		runner := untilRunner{end: time.Now().Add(puller.DefaultSettings().Heartbeat)}
		fetcher := puller.NewPuller(kernel.NewDiscardCommon("sidecar-1"), "briefing", runner, entries, listEntries, func() int { return 8 })

		go fetcher.Run(t.Context())

		time.Sleep(time.Minute)
		synctest.Wait()
		require.Equal(t, map[messenger.Fate]int{messenger.Fate_FATE_ANSWERED: 4}, entries.fateCounts)
	})
}

// untilRunner ends every item at one moment.
type untilRunner struct {
	end time.Time
}

func (runner untilRunner) Do(context.Context, *messenger.ExecuteRequest) executor.Answer {
	time.Sleep(time.Until(runner.end))

	return executor.Answer{LastFrame: &messenger.Frame{Fate: messenger.Fate_FATE_ANSWERED}}
}
