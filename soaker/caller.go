package soaker

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"limpetrail/deployer"
	"limpetrail/kernel"
)

const (
	// meanRequestPause is the mean pause between two requests of one caller.
	meanRequestPause = 60 * time.Millisecond
	// submitInterval is the pause between two jobs of a submitter, and readInterval
	// that between two reads.
	submitInterval = 1500 * time.Millisecond
	readInterval   = 400 * time.Millisecond
	// callTimeout is longer than a gateway may take to answer.
	callTimeout = 8 * time.Second
	itemsPerJob = 6
)

// newCaller returns a caller that reuses its connections: a load balancer chooses a
// gateway for each new connection only.
func (soak *Soak) newCaller() deployer.Caller {
	caller := deployer.Caller{
		Address: "balancer", KeepAlive: true, Key: soak.key(),
		Client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
				return (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, soak.gateway(soak.pickGateway()).CallerAddress)
			},
		}},
	}

	if soak.hasDeadlyPart() {
		caller.Parts = sharedParts
	}

	return caller
}

// sendRequests requests event streams until the context ends. Requests in flight are
// finished.
func (soak *Soak) sendRequests(ctx context.Context, number int) {
	caller := soak.newCaller()
	defer caller.Client.CloseIdleConnections()

	for index := 0; kernel.Pause(ctx, soak.random.durationBetween(0, 2*meanRequestPause)); index++ {
		id := fmt.Sprintf("r-%d-%d", number, index)
		once := soak.random.intN(2) == 0

		target := "/stream/x"
		if once {
			target = "/once/x"
		}

		soak.history.RecordRequest(id, once)

		answer := caller.RequestStream(context.WithoutCancel(ctx), target, id)
		soak.history.RecordAnswer(id, answer)

		if soak.hasVersions() && !once {
			soak.takeUp(context.WithoutCancel(ctx), caller, id, answer)
		}
	}
}

// submitJobs submits jobs until the context ends, and reads their results.
func (soak *Soak) submitJobs(ctx context.Context, number int) {
	caller := soak.newCaller()
	defer caller.Client.CloseIdleConnections()

	jobs := []string{}

	for index := 0; kernel.Pause(ctx, submitInterval); index++ {
		id := fmt.Sprintf("j-%d-%d", number, index)
		for item := range itemsPerJob {
			soak.history.RecordRequest(deployer.ItemID(id, item), false)
		}

		for attempts := 0; ctx.Err() == nil; attempts++ {
			if caller.SubmitJob(ctx, soak.jobPrefix(number), id, itemsPerJob) == http.StatusAccepted {
				soak.history.RecordAcceptedJob(id, itemsPerJob)

				jobs = append(jobs, id)

				break
			}

			kernel.Pause(ctx, readInterval)
		}

		if len(jobs) > 0 {
			soak.readJob(ctx, caller, jobs[soak.random.intN(len(jobs))])
		}
	}
}

// readJob reads the results of a job from a random position up to the number already
// read. Each gateway must find an accepted job.
func (soak *Soak) readJob(ctx context.Context, caller deployer.Caller, id string) {
	kernel.Pause(ctx, readInterval)

	after := 0
	if count := soak.history.ResultCount(id); count > 0 {
		after = soak.random.intN(count + 1)
	}

	status, results := caller.ReadResults(ctx, id, after)

	switch {
	case status == http.StatusOK:
		soak.history.RecordResults(id, after, results)
	case status == http.StatusNotFound && ctx.Err() == nil:
		soak.history.RecordViolation("LOST: accepted job %s is not found", id)
	}
}
