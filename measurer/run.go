package measurer

import (
	"context"
	"sync"
	"time"

	"limpetrail/admitter"
	"limpetrail/driver"
	"limpetrail/emulator"
	"limpetrail/kernel"
)

const (
	// batchOffset sets the batch workers' moments apart from those of online
	// requests.
	batchOffset = 1_000_000
	// onlineOffsets is the number of distinct moments of online requests.
	onlineOffsets = 100_000
	// batchDue is long after every run.
	batchDue = 24 * time.Hour
)

// run is a scenario that is being measured.
type run struct {
	Scenario
	engine    *emulator.Engine
	admission admitter.Admitter
	begin     time.Time
	// batchItems counts the batch items begun.
	batchItems int

	mutex  sync.Mutex
	result *Result
	// arrival is when the last online request entered.
	arrival time.Time
}

// Run measures a scenario. It is called within a testing/synctest bubble.
func Run(ctx context.Context, scenario Scenario) *Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	run := &run{
		Scenario:  scenario,
		engine:    emulator.NewEngine(emulator.WithSteps(scenario.Steps)),
		admission: scenario.Admitter(),
		begin:     time.Now(),
		result:    &Result{Name: scenario.Name, Span: scenario.Length - scenario.Warmup},
	}

	group := &sync.WaitGroup{}
	group.Go(func() { run.engine.Run(ctx) })
	group.Go(func() { run.fail(ctx) })
	run.drive(ctx, group)
	cancel()
	group.Wait()

	return run.result
}

// drive runs both classes until every online request has ended.
func (run *run) drive(ctx context.Context, group *sync.WaitGroup) {
	batch, stop := context.WithDeadline(ctx, run.begin.Add(run.Length))
	defer stop()

	for worker := range run.BatchWorkers {
		group.Go(func() { run.work(batch, worker) })
	}

	online := &sync.WaitGroup{}

	for _, request := range draw(run.Scenario) {
		time.Sleep(time.Until(run.begin.Add(request.at)))
		online.Go(func() { run.call(ctx, request) })
	}

	online.Wait()
	<-batch.Done()
}

// fail freezes the engine for the outage.
func (run *run) fail(ctx context.Context) {
	if run.OutageFor == 0 {
		return
	}

	kernel.Pause(ctx, run.OutageAt)
	run.engine.Faults.Set(emulator.FaultSwitches{Freeze: true})
	kernel.Pause(ctx, run.OutageFor)
	run.engine.Faults.Set(emulator.FaultSwitches{})
}

// call is one online caller.
func (run *run) call(ctx context.Context, request request) {
	arrival := time.Now()
	ctx, cancel := context.WithDeadline(ctx, arrival.Add(run.Deadline))

	defer cancel()

	answer := Answer{Firm: request.firm, At: request.at, OwnPrompt: request.ownPrompt}
	ticket := admitter.PlaceRequest{Firm: request.firm, Deadline: arrival.Add(run.Deadline)}

	for ctx.Err() == nil {
		asked := time.Now()
		run.arrive(asked)

		place, outcome := run.admission.Acquire(ctx, ticket)
		if place != nil {
			answer.Placed = time.Since(arrival)
			run.generate(ctx, request, place, &answer)

			break
		}

		answer.Refusals = append(answer.Refusals, time.Since(asked))
		if !run.Retry || outcome.RetryAfter == 0 {
			break
		}

		kernel.Pause(ctx, outcome.RetryAfter)
	}

	if request.at >= run.Warmup {
		run.result.add(&run.mutex, answer)
	}
}

func (run *run) arrive(now time.Time) {
	run.mutex.Lock()
	defer run.mutex.Unlock()

	run.arrival = now
}

// generate reads an online answer. Every event of the request lies some
// nanoseconds after the engine's own, at a distance that no other shares, so
// that the order of events never depends on the order of goroutines.
func (run *run) generate(ctx context.Context, request request, place admitter.Place, answer *Answer) {
	defer place.Release()

	offset := time.Duration(request.number%onlineOffsets + 1)
	time.Sleep(offset)
	run.awaitEngine(ctx, offset)

	stream, err := run.engine.Generate(ctx, driver.Generation{Body: request.body()})
	if err != nil {
		return
	}

	for {
		token, err := stream.Next()
		time.Sleep(offset)

		if err != nil {
			return
		}

		place.RecordToken()

		since := time.Since(run.begin) - request.at
		if answer.FirstToken == 0 {
			answer.FirstToken = since
			answer.FirstStep = run.engine.LastStepTime()
		}

		answer.Tokens++
		answer.LastToken = since
		answer.Whole = token.Finish != ""

		if answer.Whole {
			return
		}
	}
}

// awaitEngine holds a call to a frozen engine back, as the engine would do, and
// sets the calls apart that go on together at its return.
func (run *run) awaitEngine(ctx context.Context, offset time.Duration) {
	now := time.Since(run.begin)
	if now >= run.OutageAt && now < run.OutageAt+run.OutageFor {
		kernel.Pause(ctx, run.OutageAt+run.OutageFor-now+offset)
	}
}

// work is one batch worker: it runs items until the context ends.
func (run *run) work(ctx context.Context, worker int) {
	offset := time.Duration(batchOffset + worker)
	time.Sleep(offset)

	for ctx.Err() == nil {
		run.item(ctx, offset)
	}
}

// item runs one batch item, through as many stays as it takes.
func (run *run) item(ctx context.Context, offset time.Duration) {
	run.mutex.Lock()
	run.batchItems++
	number := run.batchItems
	run.mutex.Unlock()

	generation := driver.Generation{Body: batchBody(number, minAnswer+number*37%(maxAnswer-minAnswer+1))}
	ticket := admitter.PlaceRequest{Batch: true, Deadline: run.begin.Add(batchDue), Due: run.begin.Add(batchDue)}

	for whole := false; !whole && ctx.Err() == nil; {
		place, _ := run.admission.Acquire(ctx, ticket)
		if place == nil {
			return
		}

		time.Sleep(offset)

		whole = run.stay(ctx, place, &generation, offset)
		place.Release()
	}
}

// stay runs an item for as long as it holds its place, and tells whether it is
// whole. What it has produced is in the generation's prefix.
func (run *run) stay(ctx context.Context, place admitter.Place, generation *driver.Generation, offset time.Duration) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	taken := run.watch(ctx, cancel, place)

	stream, err := run.engine.Generate(ctx, *generation)
	if err != nil {
		return false
	}

	returned := time.Now()

	for {
		asked := time.Now()
		token, err := stream.Next()

		// The engine drops streams at the end of a step. One that is gone
		// when it is asked for went with the token before.
		if !asked.Equal(time.Now()) {
			returned = time.Now()
		}

		if err != nil {
			taken(returned)
			time.Sleep(offset)

			return false
		}

		time.Sleep(offset)
		place.RecordToken()

		generation.Prefix = append(generation.Prefix, token.Text)
		run.countBatch(token.Finish != "")

		if token.Finish != "" {
			return true
		}
	}
}

// watch cancels a stream whose place is taken back. The function it returns is
// called when the engine has dropped the stream.
func (run *run) watch(ctx context.Context, cancel func(), place admitter.Place) func(time.Time) {
	taken := make(chan GiveWay, 1)

	go func() {
		select {
		case <-place.Preempted():
			run.mutex.Lock()
			defer run.mutex.Unlock()

			if run.arrival.Equal(time.Now()) {
				taken <- GiveWay{arrival: run.arrival, Step: run.engine.CurrentStepTime()}
			}

			run.result.Preemptions++

			cancel()
		case <-ctx.Done():
		}
	}()

	return func(dropped time.Time) {
		select {
		case way := <-taken:
			way.Taken = dropped.Sub(way.arrival)

			run.mutex.Lock()
			defer run.mutex.Unlock()

			run.result.GiveWays = append(run.result.GiveWays, way)
		default:
		}
	}
}

func (run *run) countBatch(whole bool) {
	run.mutex.Lock()
	defer run.mutex.Unlock()

	if time.Since(run.begin) < run.Warmup {
		return
	}

	run.result.BatchTokens++

	if whole {
		run.result.BatchItems++
	}
}
