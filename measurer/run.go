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
	// batchOffset is added to the batch workers' time offsets, so that they differ
	// from those of online requests; see readAnswer.
	batchOffset = 1_000_000
	// onlineOffsets is the number of distinct time offsets of online requests.
	onlineOffsets = 100_000
	// batchDue is later than the end of every run.
	batchDue = 24 * time.Hour
)

// run is the state of a scenario that is being measured.
type run struct {
	Scenario
	engine    *emulator.Engine
	admission admitter.Admitter
	start     time.Time
	// batchItemCount counts the batch items that were started.
	batchItemCount int

	mutex  sync.Mutex
	result *Result
	// lastArrival is when an online request last requested admission.
	lastArrival time.Time
}

// Run measures a scenario. It must be called in a testing/synctest bubble.
func Run(ctx context.Context, scenario Scenario) *Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	run := &run{
		Scenario:  scenario,
		engine:    emulator.NewEngine(emulator.WithSteps(scenario.Steps)),
		admission: scenario.Admitter(),
		start:     time.Now(),
		result:    &Result{Name: scenario.Name, Span: scenario.Length - scenario.Warmup},
	}

	group := &sync.WaitGroup{}
	group.Go(func() { run.engine.Run(ctx) })
	group.Go(func() { run.injectOutage(ctx) })
	run.driveLoad(ctx, group)
	cancel()
	group.Wait()

	return run.result
}

// driveLoad runs the online and batch load until every online request has ended.
func (run *run) driveLoad(ctx context.Context, group *sync.WaitGroup) {
	batch, stop := context.WithDeadline(ctx, run.start.Add(run.Length))
	defer stop()

	for worker := range run.BatchWorkers {
		group.Go(func() { run.runBatchWorker(batch, worker) })
	}

	online := &sync.WaitGroup{}

	for _, request := range drawRequests(run.Scenario) {
		time.Sleep(time.Until(run.start.Add(request.arrivesAt)))
		online.Go(func() { run.sendOnline(ctx, request) })
	}

	online.Wait()
	<-batch.Done()
}

// injectOutage freezes the engine for the duration of the outage.
func (run *run) injectOutage(ctx context.Context) {
	if run.OutageFor == 0 {
		return
	}

	kernel.Pause(ctx, run.OutageAt)
	run.engine.Faults.Set(emulator.FaultSwitches{Freeze: true})
	kernel.Pause(ctx, run.OutageFor)
	run.engine.Faults.Set(emulator.FaultSwitches{})
}

// sendOnline acts as the caller of one online request, with retries if the scenario
// has them.
func (run *run) sendOnline(ctx context.Context, request request) {
	arrival := time.Now()
	ctx, cancel := context.WithDeadline(ctx, arrival.Add(run.Deadline))

	defer cancel()

	answer := Answer{Firm: request.firm, ArrivedAt: request.arrivesAt, OwnPrompt: request.ownPromptTokens}
	placeRequest := admitter.PlaceRequest{Firm: request.firm, Deadline: arrival.Add(run.Deadline)}

	for ctx.Err() == nil {
		requested := time.Now()
		run.recordArrival(requested)

		place, outcome := run.admission.Acquire(ctx, placeRequest)
		if place != nil {
			answer.AcquireDelay = time.Since(arrival)
			run.readAnswer(ctx, request, place, &answer)

			break
		}

		answer.Refusals = append(answer.Refusals, time.Since(requested))
		if !run.Retry || outcome.RetryAfter == 0 {
			break
		}

		kernel.Pause(ctx, outcome.RetryAfter)
	}

	if request.arrivesAt >= run.Warmup {
		run.result.addAnswer(&run.mutex, answer)
	}
}

func (run *run) recordArrival(now time.Time) {
	run.mutex.Lock()
	defer run.mutex.Unlock()

	run.lastArrival = now
}

// readAnswer generates and reads an online answer. Each request handles its events
// some nanoseconds after the engine's event, with an offset that no other request
// has. So the order of events does not depend on how goroutines are scheduled.
func (run *run) readAnswer(ctx context.Context, request request, place admitter.Place, answer *Answer) {
	defer place.Release()

	offset := time.Duration(request.number%onlineOffsets + 1)
	time.Sleep(offset)
	run.awaitOutageEnd(ctx, offset)

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

		elapsed := time.Since(run.start) - request.arrivesAt
		if answer.FirstToken == 0 {
			answer.FirstToken = elapsed
			answer.FirstStep = run.engine.LastStepTime()
		}

		answer.Tokens++
		answer.LastToken = elapsed
		answer.Complete = token.Finish != ""

		if answer.Complete {
			return
		}
	}
}

// awaitOutageEnd delays a call to a frozen engine until the outage ends, as the
// engine would, and adds the offset so that the delayed calls do not continue at
// the same instant.
func (run *run) awaitOutageEnd(ctx context.Context, offset time.Duration) {
	now := time.Since(run.start)
	if now >= run.OutageAt && now < run.OutageAt+run.OutageFor {
		kernel.Pause(ctx, run.OutageAt+run.OutageFor-now+offset)
	}
}

// runBatchWorker runs batch items one after the other until the context ends.
func (run *run) runBatchWorker(ctx context.Context, worker int) {
	offset := time.Duration(batchOffset + worker)
	time.Sleep(offset)

	for ctx.Err() == nil {
		run.runBatchItem(ctx, offset)
	}
}

// runBatchItem runs one batch item until it is complete. After each preemption it
// acquires a place again.
func (run *run) runBatchItem(ctx context.Context, offset time.Duration) {
	run.mutex.Lock()
	run.batchItemCount++
	number := run.batchItemCount
	run.mutex.Unlock()

	generation := driver.Generation{Body: batchBody(number, minAnswerTokens+number*37%(maxAnswerTokens-minAnswerTokens+1))}
	placeRequest := admitter.PlaceRequest{Batch: true, Deadline: run.start.Add(batchDue), Due: run.start.Add(batchDue)}

	for complete := false; !complete && ctx.Err() == nil; {
		place, _ := run.admission.Acquire(ctx, placeRequest)
		if place == nil {
			return
		}

		time.Sleep(offset)

		complete = run.runUntilPreempted(ctx, place, &generation, offset)
		place.Release()
	}
}

// runUntilPreempted runs an item until it is complete or loses its place, and reports
// whether it is complete. The tokens so far are stored in the generation's prefix.
func (run *run) runUntilPreempted(ctx context.Context, place admitter.Place, generation *driver.Generation, offset time.Duration) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	recordPreemption := run.watchPreemption(ctx, cancel, place)

	stream, err := run.engine.Generate(ctx, *generation)
	if err != nil {
		return false
	}

	returned := time.Now()

	for {
		requested := time.Now()
		token, err := stream.Next()

		// The engine removes cancelled streams at the end of a step. If Next
		// returned at once, the stream was removed with the token before.
		if !requested.Equal(time.Now()) {
			returned = time.Now()
		}

		if err != nil {
			recordPreemption(returned)
			time.Sleep(offset)

			return false
		}

		time.Sleep(offset)
		place.RecordToken()

		generation.Prefix = append(generation.Prefix, token.Text)
		run.countBatchToken(token.Finish != "")

		if token.Finish != "" {
			return true
		}
	}
}

// watchPreemption cancels the stream when its place is preempted. The caller calls
// the returned function when the engine has removed the stream; this records the
// delay.
func (run *run) watchPreemption(ctx context.Context, cancel func(), place admitter.Place) func(time.Time) {
	preempted := make(chan Preemption, 1)

	go func() {
		select {
		case <-place.Preempted():
			run.mutex.Lock()
			defer run.mutex.Unlock()

			if run.lastArrival.Equal(time.Now()) {
				preempted <- Preemption{arrival: run.lastArrival, Step: run.engine.CurrentStepTime()}
			}

			run.result.Preemptions++

			cancel()
		case <-ctx.Done():
		}
	}()

	return func(removed time.Time) {
		select {
		case preemption := <-preempted:
			preemption.Delay = removed.Sub(preemption.arrival)

			run.mutex.Lock()
			defer run.mutex.Unlock()

			run.result.TimedPreemptions = append(run.result.TimedPreemptions, preemption)
		default:
		}
	}
}

func (run *run) countBatchToken(complete bool) {
	run.mutex.Lock()
	defer run.mutex.Unlock()

	if time.Since(run.start) < run.Warmup {
		return
	}

	run.result.BatchTokens++

	if complete {
		run.result.BatchItems++
	}
}
