package soaker

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"limpetrail/deployer"
	"limpetrail/emulator"
	"limpetrail/kernel"
)

const (
	// firstDeadlySeed is the first seed whose load has requests with a prompt part that ends
	// the backend servers which begin to answer them.
	firstDeadlySeed = 300
	// firstDeadlyRequestSeed is the first seed whose load has one request without a prompt that
	// ends backend servers and comes again and again, instead.
	firstDeadlyRequestSeed = 400
	deadlyBody             = "deadly"
	// sharedParts are the prompt parts of all requests of such a seed.
	sharedParts = "first,caller"
	deadlyPart  = "deadly"
	// meanDeadlyPause is the mean pause between two such requests.
	meanDeadlyPause = 300 * time.Millisecond
	// freeCrashes may happen before the part must be known, and freeRequestCrashes before the
	// request must be. contactTime later at most maxLateRuns are allowed, by gateways that ran
	// without a fault for contactTime.
	freeCrashes        = 5
	freeRequestCrashes = 3
	maxLateRuns        = 3
	contactTime        = 3 * time.Second
)

// disturbance records when faults affected the processes of a gateway.
type disturbance struct {
	mutex sync.Mutex
	// periods are the times of faults; the last one has no end while it lasts.
	periods []period
}

type period struct {
	start, end time.Time
}

// begin records the start of a fault. The returned function records its end.
func (disturbance *disturbance) begin() func() {
	disturbance.mutex.Lock()
	defer disturbance.mutex.Unlock()

	index := len(disturbance.periods)
	disturbance.periods = append(disturbance.periods, period{start: time.Now()})

	return func() {
		disturbance.mutex.Lock()
		defer disturbance.mutex.Unlock()

		disturbance.periods[index].end = time.Now()
	}
}

// undisturbed reports whether no fault affected the gateway for contactTime before the time.
func (disturbance *disturbance) undisturbed(at time.Time) bool {
	disturbance.mutex.Lock()
	defer disturbance.mutex.Unlock()

	for _, period := range disturbance.periods {
		if period.start.Before(at) && (period.end.IsZero() || at.Sub(period.end) < contactTime) {
			return false
		}
	}

	return true
}

// hasDeadlyPart reports whether the load of the seed has requests with the deadly part.
func (soak *Soak) hasDeadlyPart() bool {
	return soak.Seed >= firstDeadlySeed && soak.Seed < firstDeadlyRequestSeed
}

// hasDeadlyRequest reports whether the load of the seed has the deadly request.
func (soak *Soak) hasDeadlyRequest() bool {
	return soak.Seed >= firstDeadlyRequestSeed && soak.Seed < firstVersionSeed
}

// sendDeadlyRequests sends requests with the deadly part, or the deadly request, until the context
// ends, each to a gateway of its own.
func (soak *Soak) sendDeadlyRequests(ctx context.Context, number int) {
	for index := 0; kernel.Pause(ctx, soak.random.durationBetween(0, 2*meanDeadlyPause)); index++ {
		id := fmt.Sprintf("d-%d-%d", number, index)
		gateway := soak.pickGateway()
		once := soak.random.intN(2) == 0

		target := "/stream/x"
		if once {
			target = "/once/x"
		}

		soak.history.RecordRequest(id, once)
		soak.history.RecordDeadlyRequest(id, gateway)

		caller := soak.newCallerOf(soak.gateway(gateway))
		caller.Client = &http.Client{Timeout: callTimeout}

		if soak.hasDeadlyPart() {
			caller.Parts = sharedParts + "," + deadlyPart
		} else {
			caller.Body = deadlyBody
		}

		soak.history.RecordAnswer(id, caller.RequestStream(context.WithoutCancel(ctx), target, id))
	}
}

// submitDeadlyJob submits one job whose items have the deadly part. Their results are not
// awaited: they can't be given up before the job's time ends.
func (soak *Soak) submitDeadlyJob(ctx context.Context) {
	const id = "deadly-job"

	caller := soak.newCaller()
	defer caller.Client.CloseIdleConnections()

	caller.Parts = sharedParts + "," + deadlyPart

	for item := range itemsPerJob {
		soak.history.RecordRequest(deployer.ItemID(id, item), false)
	}

	for caller.SubmitJob(ctx, "/batch/", id, itemsPerJob) != http.StatusAccepted {
		if !kernel.Pause(ctx, readInterval) {
			return
		}
	}
}

// checkDeadlyRuns checks that few requests with the deadly part, or few attempts at the deadly
// request, reach backend servers once several have ended by them.
func (soak *Soak) checkDeadlyRuns() []string {
	runs := []emulator.DeadlyRun{}
	for _, server := range soak.Servers {
		runs = append(runs, server.DeadlyRuns()...)
	}

	slices.SortFunc(runs, func(one, other emulator.DeadlyRun) int { return one.At.Compare(other.At) })

	free := freeCrashes
	if soak.hasDeadlyRequest() {
		free = freeRequestCrashes
	}

	if len(runs) <= free {
		return nil
	}

	late := []string{}

	for _, run := range runs[free:] {
		if run.At.Sub(runs[free-1].At) > contactTime && soak.sentUndisturbed(run) {
			late = append(late, run.RequestID)
		}
	}

	if len(late) <= maxLateRuns {
		return nil
	}

	return []string{fmt.Sprintf("BUDGET: %d of %d deadly requests reached servers later than %s after crash %d: %v", len(late), len(runs), contactTime, free, late)}
}

// sentUndisturbed reports whether no fault affected the gateway that sent the request, or
// any gateway for an item, which any of them may run.
func (soak *Soak) sentUndisturbed(run emulator.DeadlyRun) bool {
	if gateway, found := soak.history.deadlyGateways[run.RequestID]; found {
		return soak.disturbances[gateway].undisturbed(run.At)
	}

	for number := range gatewayCount {
		if !soak.disturbances[number].undisturbed(run.At) {
			return false
		}
	}

	return true
}
