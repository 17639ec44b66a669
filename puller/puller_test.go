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

// entries stands in for the entries' jobs.
type entries struct {
	mutex sync.Mutex
	// windows are handed out one after the other, by entry.
	windows map[string][][]*messenger.Item
	// fates counts the results by fate.
	fates map[messenger.Fate]int
	// taken counts the results by entry; unknown names the entries that own
	// nothing, down those that don't answer.
	taken         map[string]int
	unknown, down map[string]bool
}

func (entries *entries) Pull(_ context.Context, entry puller.Entry, _ *messenger.PullRequest) (*messenger.PullReply, error) {
	entries.mutex.Lock()
	defer entries.mutex.Unlock()

	windows := entries.windows[entry.Name]
	if len(windows) == 0 {
		return &messenger.PullReply{}, nil
	}

	entries.windows[entry.Name] = windows[1:]

	return &messenger.PullReply{Items: windows[0]}, nil
}

func (entries *entries) Complete(_ context.Context, entry puller.Entry, request *messenger.CompleteRequest) (*messenger.CompleteReply, error) {
	entries.mutex.Lock()
	defer entries.mutex.Unlock()

	switch {
	case entries.down[entry.Name]:
		return nil, errors.New("no answer")
	case entries.unknown[entry.Name]:
		return &messenger.CompleteReply{UnknownJobIds: []string{"job"}}, nil
	}

	entries.taken[entry.Name] += len(request.GetResults())
	for _, result := range request.GetResults() {
		entries.fates[result.GetFate()]++
	}

	return &messenger.CompleteReply{}, nil
}

// runner takes a second for each item and notes who ran beside whom.
type runner struct {
	mutex   sync.Mutex
	running map[string]bool
	// beside is the most items that ran at once with the item.
	beside map[string]int
}

func (runner *runner) Do(_ context.Context, request *messenger.ExecuteRequest) executor.Answer {
	runner.mutex.Lock()
	runner.running[request.GetRequestId()] = true

	for id := range runner.running {
		runner.beside[id] = max(runner.beside[id], len(runner.running))
	}
	runner.mutex.Unlock()

	time.Sleep(time.Second)

	runner.mutex.Lock()
	defer runner.mutex.Unlock()

	delete(runner.running, request.GetRequestId())

	return executor.Answer{LastFrame: &messenger.Frame{Fate: messenger.Fate_FATE_ANSWERED}}
}

func items(first, count int, alone bool) []*messenger.Item {
	made := []*messenger.Item{}
	for index := first; index < first+count; index++ {
		made = append(made, &messenger.Item{
			JobId: "job", Index: uint32(index), Alone: alone,
			Request: &messenger.ExecuteRequest{RequestId: string(rune('a' + index))},
		})
	}

	return made
}

func start(t *testing.T, jobs *entries) *runner {
	t.Helper()

	jobs.taken, jobs.fates = map[string]int{}, map[messenger.Fate]int{}
	running := &runner{running: map[string]bool{}, beside: map[string]int{}}
	list := func() []puller.Entry { return []puller.Entry{{Name: "entry-1"}, {Name: "entry-2"}} }
	fetcher := puller.NewPuller(kernel.Discard("sidecar-1"), "briefing", running, jobs, list, func() int { return 8 })

	go fetcher.Run(t.Context())

	return running
}

func TestSuspectRunsWithNoOtherItem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		jobs := &entries{windows: map[string][][]*messenger.Item{"entry-1": {items(0, 4, false), items(4, 1, true), items(5, 4, false)}}}
		running := start(t, jobs)
		time.Sleep(time.Minute)
		synctest.Wait()

		require.Equal(t, 9, jobs.taken["entry-1"])
		require.Equal(t, 1, running.beside["e"])
		require.Equal(t, 4, running.beside["a"])
	})
}

func TestResultsReachTheEntryThatOwnsTheJobNow(t *testing.T) {
	cases := map[string]*entries{
		"the first owner is down":              {down: map[string]bool{"entry-1": true}},
		"the first owner owns the job no more": {unknown: map[string]bool{"entry-1": true}},
	}

	for name, jobs := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				jobs.windows = map[string][][]*messenger.Item{"entry-1": {items(0, 4, false)}}
				start(t, jobs)
				time.Sleep(time.Minute)
				synctest.Wait()
				require.Equal(t, 4, jobs.taken["entry-2"])
			})
		})
	}
}

// longRunner runs each item until it is stopped, or for an hour.
type longRunner struct{}

func (longRunner) Do(ctx context.Context, request *messenger.ExecuteRequest) executor.Answer {
	// As the executor does, only an idempotent item ends with its context.
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

func TestLeavingGivesIdempotentItemsBackAtOnce(t *testing.T) {
	for name, scenario := range map[string]struct {
		idempotent bool
		fate       messenger.Fate
		takes      time.Duration
	}{
		"idempotent items are given back": {idempotent: true, fate: messenger.Fate_FATE_QUEUED, takes: time.Second},
		"the others finish":               {fate: messenger.Fate_FATE_ANSWERED, takes: time.Hour + time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				window := items(0, 4, false)
				for _, item := range window {
					item.Request.Idempotent = scenario.idempotent
				}

				jobs := &entries{
					windows: map[string][][]*messenger.Item{"entry-1": {window}},
					taken:   map[string]int{},
					fates:   map[messenger.Fate]int{},
				}
				list := func() []puller.Entry { return []puller.Entry{{Name: "entry-1"}} }
				fetcher := puller.NewPuller(kernel.Discard("sidecar-1"), "briefing", longRunner{}, jobs, list, func() int { return 8 })
				ctx, leave := context.WithCancel(t.Context())
				ended := make(chan struct{})

				go func() {
					fetcher.Run(ctx)
					close(ended)
				}()

				time.Sleep(10 * time.Second)

				left := time.Now()

				leave()
				<-ended

				require.LessOrEqual(t, time.Since(left), scenario.takes)
				require.Equal(t, map[messenger.Fate]int{scenario.fate: 4}, jobs.fates)
			})
		})
	}
}
