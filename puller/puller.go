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

// Runner runs items at the backend server; see executor.Executor.
type Runner interface {
	Do(ctx context.Context, request *messenger.ExecuteRequest) executor.Answer
}

var _ Runner = (*executor.Executor)(nil)

// Puller is the batch side of one sidecar.
type Puller struct {
	kernel.Common
	Settings Settings
	// Service is what the backend server serves.
	Service string
	Runner  Runner
	Jobs    Jobs
	// Entries lists the entries there are now.
	Entries func() []Entry
	// Room is how many further items could start now.
	Room func() int
	// Healthy asks the backend server whether it is up again after a break.
	Healthy func(ctx context.Context) bool

	mutex sync.Mutex
	// works holds the items that are here, until their result is taken.
	works map[key]*work
	// running is the number of works without a result.
	running int
	// alone waits for the others to finish.
	alone *work
	// backoffs holds, by entry, when it is asked for items again.
	backoffs map[string]backoff
	// favourite is the entry that last had items.
	favourite string
	// healthy is set when the backend server answered after its last break,
	// so that the next break speaks against the item.
	healthy bool
	// brokenUntil is when items are run again after a break, which was the
	// breaks-th in a row.
	brokenUntil time.Time
	breaks      int
	// wake is signalled when there may be room or a result.
	wake chan struct{}
	// items counts the goroutines that run items.
	items sync.WaitGroup
}

// key identifies an item.
type key struct {
	jobID string
	index uint32
}

// work is one item at this sidecar.
type work struct {
	key   key
	item  *messenger.Item
	entry Entry
	stop  context.CancelFunc
	// cancelled tells whether the item was stopped here.
	cancelled bool
	// returned tells whether the item was given back unfinished.
	returned bool
	launched bool
	// result is nil while the item runs.
	result *messenger.ItemResult
	// finished is when the result came.
	finished time.Time
	// refused counts the entries that did not take the report.
	refused   int
	notBefore time.Time
}

type backoff struct {
	pause time.Duration
	until time.Time
}

// Option changes a Puller at construction.
type Option func(*Puller)

// WithSettings sets the bounds.
func WithSettings(settings Settings) Option {
	return func(puller *Puller) { puller.Settings = settings }
}

// WithHealth sets how the backend server is asked whether it is up.
func WithHealth(healthy func(ctx context.Context) bool) Option {
	return func(puller *Puller) { puller.Healthy = healthy }
}

// NewPuller returns a puller that fetches nothing until it runs.
func NewPuller(common kernel.Common, service string, runner Runner, jobs Jobs, entries func() []Entry, room func() int, options ...Option) *Puller {
	puller := &Puller{
		Common:   common.ForPart("puller"),
		Settings: DefaultSettings(),
		Service:  service,
		Runner:   runner,
		Jobs:     jobs,
		Entries:  entries,
		Room:     room,
		works:    map[key]*work{},
		backoffs: map[string]backoff{},
		Healthy:  func(context.Context) bool { return true },
		wake:     make(chan struct{}, 1),
	}
	for _, option := range options {
		option(puller)
	}

	return puller
}

// Run fetches and runs items until the context ends. Then it gives idempotent
// items back, lets the others finish, and reports them all.
func (puller *Puller) Run(ctx context.Context) {
	work := context.WithoutCancel(ctx)
	reports := sync.WaitGroup{}
	reporting, stop := context.WithCancel(work)

	reports.Go(func() { puller.report(reporting) })

	for ctx.Err() == nil {
		if puller.recovered(ctx) && !puller.launchAlone(work) {
			puller.fetch(ctx, work)
		}

		puller.sleep(ctx)
	}

	puller.giveBack()
	puller.items.Wait()
	puller.giveUpAlone()
	stop()
	reports.Wait()
	puller.flush(work)
}

// sleep waits for the interval and then, when nothing can be done, until there
// may be room.
func (puller *Puller) sleep(ctx context.Context) {
	select {
	case <-time.After(puller.Settings.Interval):
	case <-ctx.Done():
	}
}

// giveBack stops the items that may run again elsewhere, so that a leaving
// backend server waits for no batch work that it need not finish.
func (puller *Puller) giveBack() {
	puller.mutex.Lock()
	defer puller.mutex.Unlock()

	for _, work := range puller.works {
		if work.launched && work.result == nil && work.item.GetRequest().GetIdempotent() {
			work.returned = true
			work.stop()
		}
	}
}

// giveUpAlone forgets an item that has not started; its lease runs out.
func (puller *Puller) giveUpAlone() {
	puller.mutex.Lock()
	defer puller.mutex.Unlock()

	if puller.alone != nil {
		delete(puller.works, puller.alone.key)
		puller.alone = nil
	}
}

// recovered tells whether the backend server takes items: after a break it is
// asked, once the pause is over.
func (puller *Puller) recovered(ctx context.Context) bool {
	puller.mutex.Lock()
	healthy, paused := puller.healthy, time.Now().Before(puller.brokenUntil)
	puller.mutex.Unlock()

	if paused || healthy {
		return !paused
	}

	call, cancel := context.WithTimeout(ctx, puller.Settings.CallLimit)
	defer cancel()

	healthy = puller.Healthy(call)

	puller.mutex.Lock()
	defer puller.mutex.Unlock()

	if !healthy {
		puller.broke()

		return false
	}

	// A break meanwhile keeps its pause.
	puller.healthy = !time.Now().Before(puller.brokenUntil)

	return puller.healthy
}

// launchAlone starts the item that is to run alone once the others are done.
// It returns whether one waits or runs.
func (puller *Puller) launchAlone(ctx context.Context) bool {
	puller.mutex.Lock()
	defer puller.mutex.Unlock()

	if puller.alone == nil {
		return false
	}

	if puller.running == 0 && !puller.alone.launched {
		puller.launch(ctx, puller.alone)
	}

	return true
}

// fetch asks one entry for items if there is room.
func (puller *Puller) fetch(ctx, work context.Context) {
	room := puller.room()
	if room <= 0 {
		return
	}

	entry, found := puller.pick(time.Now())
	if !found {
		return
	}

	call, cancel := context.WithTimeout(ctx, puller.Settings.CallLimit)
	defer cancel()

	reply, err := puller.Jobs.Pull(call, entry, &messenger.PullRequest{
		Clock:    uint64(puller.Recorder.Clock.Now()),
		Instance: puller.Instance,
		Service:  puller.Service,
		Limit:    uint32(room),
	})
	if err != nil || len(reply.GetItems()) == 0 {
		puller.backOff(entry)

		return
	}

	puller.Recorder.Clock.Observe(recorder.Stamp(reply.GetClock()))
	puller.start(work, entry, reply.GetItems())
}

// room returns how many items to ask for.
func (puller *Puller) room() int {
	room := puller.Room()

	puller.mutex.Lock()
	defer puller.mutex.Unlock()

	return min(room, puller.Settings.MaxRunning-len(puller.works))
}

// pick chooses the entry to ask: the one that last had items, or any whose
// time has come.
func (puller *Puller) pick(now time.Time) (Entry, bool) {
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
		if entry.Name == puller.favourite {
			return entry, true
		}
	}

	return entries[rand.IntN(len(entries))], true
}

// backOff leaves an entry that has no items alone for a while.
func (puller *Puller) backOff(entry Entry) {
	puller.mutex.Lock()
	defer puller.mutex.Unlock()

	pause := puller.backoffs[entry.Name].pause
	pause = min(max(2*pause, puller.Settings.BackoffFirst), puller.Settings.BackoffMost)
	spread := time.Duration(rand.Int64N(int64(pause)/2 + 1))
	puller.backoffs[entry.Name] = backoff{pause: pause, until: time.Now().Add(pause/2 + spread)}
}

// start runs the items, or waits with one that is to run alone.
func (puller *Puller) start(ctx context.Context, entry Entry, items []*messenger.Item) {
	puller.mutex.Lock()
	defer puller.mutex.Unlock()

	puller.favourite = entry.Name
	delete(puller.backoffs, entry.Name)

	for _, item := range items {
		name := key{jobID: item.GetJobId(), index: item.GetIndex()}
		if _, found := puller.works[name]; found {
			continue
		}

		added := &work{key: name, item: item, entry: entry}
		puller.works[name] = added

		if item.GetAlone() {
			puller.alone = added

			continue
		}

		puller.launch(ctx, added)
	}
}

// launch runs one item, with the mutex held.
func (puller *Puller) launch(ctx context.Context, work *work) {
	running, stop := context.WithCancel(ctx)
	work.stop = stop
	work.launched = true
	puller.running++

	puller.items.Go(func() {
		defer stop()

		answer := puller.Runner.Do(running, work.item.GetRequest())
		puller.finish(work, answer)
	})
}
