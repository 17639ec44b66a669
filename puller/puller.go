package puller

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"limpetrail/executor"
	"limpetrail/kernel"
	"limpetrail/messenger"
	"limpetrail/recorder"
)

// Runner runs items at the backend server, as executor.Executor does.
type Runner interface {
	Do(ctx context.Context, request *messenger.ExecuteRequest) executor.Answer
}

var _ Runner = (*executor.Executor)(nil)

// Puller fetches, runs and reports the batch items of one sidecar.
type Puller struct {
	kernel.Common
	Settings Settings
	// Service names the service of the backend server.
	Service     string
	Runner      Runner
	EntryClient EntryClient
	// Entries returns the present entries.
	Entries func() []Entry
	// FreeCapacity returns how many more items could start now.
	FreeCapacity func() int
	// CheckHealth returns whether the backend server is up again after a failure.
	CheckHealth func(ctx context.Context) bool

	mutex sync.Mutex
	// pulledItems holds the items of this sidecar until an entry accepts their
	// result.
	pulledItems map[itemKey]*pulledItem
	// runningCount is the number of started items without a result.
	runningCount int
	// exclusiveItem is an item that must run alone. It starts when no other item
	// runs.
	exclusiveItem *pulledItem
	// backoffs holds, by entry name, when the entry is asked for items again.
	backoffs map[string]backoff
	// lastSource names the entry that returned items last.
	lastSource string
	// healthy is set if the backend server has answered or passed a health check
	// since its last failure. An item that fails then is likely the cause of the
	// failure.
	healthy bool
	// pausedUntil is when items are fetched again after a failure of the backend
	// server.
	pausedUntil         time.Time
	consecutiveFailures int
	// wake is signalled when there may be a result to report.
	wake chan struct{}
	// itemGoroutines waits for the goroutines that run items.
	itemGoroutines sync.WaitGroup
}

// itemKey identifies an item.
type itemKey struct {
	jobID string
	index uint32
}

// pulledItem is an item with its state at this sidecar.
type pulledItem struct {
	key    itemKey
	item   *messenger.Item
	entry  Entry
	cancel context.CancelFunc
	// cancelled is set if the item was stopped because its job was cancelled.
	cancelled bool
	// returned is set if the item was stopped unfinished on shutdown, to run
	// elsewhere.
	returned bool
	started  bool
	// result is nil while the item runs.
	result *messenger.ItemResult
	// finishedAt is when the result was recorded.
	finishedAt time.Time
	// rejectedReports counts the reports of the item that failed or that an entry
	// did not accept.
	rejectedReports int
	nextReportAt    time.Time
}

type backoff struct {
	pause time.Duration
	until time.Time
}

// Option changes a Puller at construction.
type Option func(*Puller)

// WithSettings replaces the default settings.
func WithSettings(settings Settings) Option {
	return func(puller *Puller) { puller.Settings = settings }
}

// WithHealthCheck sets the health check of the backend server.
func WithHealthCheck(check func(ctx context.Context) bool) Option {
	return func(puller *Puller) { puller.CheckHealth = check }
}

// NewPuller returns a puller, which fetches nothing before Run.
func NewPuller(common kernel.Common, service string, runner Runner, client EntryClient, entries func() []Entry, freeCapacity func() int, options ...Option) *Puller {
	puller := &Puller{
		Common:       common.ForPart("puller"),
		Settings:     DefaultSettings(),
		Service:      service,
		Runner:       runner,
		EntryClient:  client,
		Entries:      entries,
		FreeCapacity: freeCapacity,
		pulledItems:  map[itemKey]*pulledItem{},
		backoffs:     map[string]backoff{},
		CheckHealth:  func(context.Context) bool { return true },
		wake:         make(chan struct{}, 1),
	}
	for _, option := range options {
		option(puller)
	}

	return puller
}

// Run fetches and runs items until the context ends. Then it returns idempotent
// items to their entries, waits for the others to finish, and reports all results.
func (puller *Puller) Run(ctx context.Context) {
	itemContext := context.WithoutCancel(ctx)
	reports := sync.WaitGroup{}
	reportContext, stopReports := context.WithCancel(itemContext)

	reports.Go(func() { puller.runReports(reportContext) })

	for ctx.Err() == nil {
		if puller.isBackendAvailable(ctx) && !puller.startExclusive(itemContext) {
			puller.fetch(ctx, itemContext)
		}

		puller.waitInterval(ctx)
	}

	puller.returnItems()
	puller.itemGoroutines.Wait()
	puller.dropUnstartedExclusive()
	stopReports()
	reports.Wait()
	puller.flushResults(itemContext)
}

// waitInterval waits for the interval between two fetches.
func (puller *Puller) waitInterval(ctx context.Context) {
	select {
	case <-time.After(puller.Settings.Interval):
	case <-ctx.Done():
	}
}

// returnItems stops the idempotent items, which may run again elsewhere, so that
// the shutdown of a backend server doesn't wait for them.
func (puller *Puller) returnItems() {
	puller.mutex.Lock()
	defer puller.mutex.Unlock()

	for _, pulled := range puller.pulledItems {
		if pulled.started && pulled.result == nil && pulled.item.GetRequest().GetIdempotent() {
			pulled.returned = true
			pulled.cancel()
		}
	}
}

// dropUnstartedExclusive drops an exclusive item that has not started. Its lease
// at the entry then expires.
func (puller *Puller) dropUnstartedExclusive() {
	puller.mutex.Lock()
	defer puller.mutex.Unlock()

	if puller.exclusiveItem != nil {
		delete(puller.pulledItems, puller.exclusiveItem.key)
		puller.exclusiveItem = nil
	}
}

// isBackendAvailable returns whether items may be fetched. After a failure of the
// backend server it checks the server's health once the pause is over.
func (puller *Puller) isBackendAvailable(ctx context.Context) bool {
	puller.mutex.Lock()
	healthy, paused := puller.healthy, time.Now().Before(puller.pausedUntil)
	puller.mutex.Unlock()

	if paused || healthy {
		return !paused
	}

	callContext, cancel := context.WithTimeout(ctx, puller.Settings.CallLimit)
	defer cancel()

	healthy = puller.CheckHealth(callContext)

	puller.mutex.Lock()
	defer puller.mutex.Unlock()

	if !healthy {
		puller.recordFailure()

		return false
	}

	// A failure during the check still pauses the puller.
	puller.healthy = !time.Now().Before(puller.pausedUntil)

	return puller.healthy
}

// startExclusive starts the exclusive item if no other item runs. It returns
// whether there is one, waiting or running.
func (puller *Puller) startExclusive(ctx context.Context) bool {
	puller.mutex.Lock()
	defer puller.mutex.Unlock()

	if puller.exclusiveItem == nil {
		return false
	}

	if puller.runningCount == 0 && !puller.exclusiveItem.started {
		puller.startItem(ctx, puller.exclusiveItem)
	}

	return true
}

// fetch asks one entry for items if there is free capacity, and starts them.
func (puller *Puller) fetch(ctx, itemContext context.Context) {
	limit := puller.pullLimit()
	if limit <= 0 {
		return
	}

	entry, found := puller.pickEntry(time.Now())
	if !found {
		return
	}

	callContext, cancel := context.WithTimeout(ctx, puller.Settings.CallLimit)
	defer cancel()

	reply, err := puller.EntryClient.Pull(callContext, entry, &messenger.PullRequest{
		Clock:    uint64(puller.Recorder.Clock.Now()),
		Instance: puller.Instance,
		Service:  puller.Service,
		Limit:    uint32(limit),
	})
	if err != nil || len(reply.GetItems()) == 0 {
		puller.backOff(entry)

		return
	}

	puller.Recorder.Clock.Observe(recorder.Stamp(reply.GetClock()))
	puller.startItems(itemContext, entry, reply.GetItems())
}

// pullLimit returns the maximum number of items to fetch now.
func (puller *Puller) pullLimit() int {
	capacity := puller.FreeCapacity()

	puller.mutex.Lock()
	defer puller.mutex.Unlock()

	return min(capacity, puller.Settings.MaxRunning-len(puller.pulledItems))
}

// pickEntry returns the entry to fetch from: the one that returned items last, or a
// random one. It skips entries that are in backoff.
func (puller *Puller) pickEntry(now time.Time) (Entry, bool) {
	entries := puller.Entries()

	puller.mutex.Lock()
	defer puller.mutex.Unlock()

	entries = slices.DeleteFunc(slices.Clone(entries), func(entry Entry) bool {
		return now.Before(puller.backoffs[entry.Name].until)
	})
	if len(entries) == 0 {
		return Entry{}, false
	}

	for _, entry := range entries {
		if entry.Name == puller.lastSource {
			return entry, true
		}
	}

	return entries[rand.IntN(len(entries))], true
}

// backOff doubles the pause, with jitter, before an entry that failed or had no items
// is asked again.
func (puller *Puller) backOff(entry Entry) {
	puller.mutex.Lock()
	defer puller.mutex.Unlock()

	pause := puller.backoffs[entry.Name].pause
	pause = min(max(2*pause, puller.Settings.BackoffFirst), puller.Settings.BackoffMost)
	jitter := time.Duration(rand.Int64N(int64(pause)/2 + 1))
	puller.backoffs[entry.Name] = backoff{pause: pause, until: time.Now().Add(pause/2 + jitter)}
}

// startItems starts the fetched items, except for one that must run alone, which
// waits in exclusiveItem.
func (puller *Puller) startItems(ctx context.Context, entry Entry, items []*messenger.Item) {
	puller.mutex.Lock()
	defer puller.mutex.Unlock()

	puller.lastSource = entry.Name
	delete(puller.backoffs, entry.Name)

	for _, item := range items {
		id := itemKey{jobID: item.GetJobId(), index: item.GetIndex()}
		if _, found := puller.pulledItems[id]; found {
			continue
		}

		pulled := &pulledItem{key: id, item: item, entry: entry}
		puller.pulledItems[id] = pulled

		if item.GetAlone() {
			puller.exclusiveItem = pulled

			continue
		}

		puller.startItem(ctx, pulled)
	}
}

// startItem starts one item in a goroutine, with the mutex held.
func (puller *Puller) startItem(ctx context.Context, pulled *pulledItem) {
	itemContext, cancel := context.WithCancel(ctx)
	pulled.cancel = cancel
	pulled.started = true
	puller.runningCount++

	puller.itemGoroutines.Go(func() {
		defer cancel()

		answer := puller.Runner.Do(itemContext, pulled.item.GetRequest())
		puller.recordResult(pulled, answer)
	})
}
