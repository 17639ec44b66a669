package soaker

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"limpetrail/kernel"
	"limpetrail/stager"
)

const (
	// meanRequestPause is the mean pause between two requests of a caller.
	meanRequestPause = 60 * time.Millisecond
	// submitInterval lies between two jobs of a submitter, readPause between two reads.
	submitInterval = 1500 * time.Millisecond
	readInterval   = 400 * time.Millisecond
	// callTimeout is above what a gateway may take.
	callTimeout = 8 * time.Second
	itemsPerJob = 6
)

// newCaller keeps its connections open: the balancer only chooses where a new one
// goes.
func (soak *Soak) newCaller() stager.Caller {
	return stager.Caller{
		Address: "balancer", KeepAlive: true,
		Client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
				return (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, soak.gateway(soak.pickGateway()).Callers)
			},
		}},
	}
}

// sendRequests sends requests for events until the context ends. Those under way are
// finished.
func (soak *Soak) sendRequests(ctx context.Context, number int) {
	caller := soak.newCaller()
	defer caller.Client.CloseIdleConnections()

	for request := 0; kernel.Pause(ctx, soak.random.durationBetween(0, 2*meanRequestPause)); request++ {
		id := fmt.Sprintf("r-%d-%d", number, request)
		once := soak.random.intN(2) == 0

		target := "/stream/x"
		if once {
			target = "/once/x"
		}

		soak.history.RecordRequest(id, once)
		soak.history.RecordAnswer(id, caller.Stream(context.WithoutCancel(ctx), target, id))
	}
}

// submitJobs hands in jobs until the context ends, and reads them.
func (soak *Soak) submitJobs(ctx context.Context, number int) {
	caller := soak.newCaller()
	defer caller.Client.CloseIdleConnections()

	jobs := []string{}

	for job := 0; kernel.Pause(ctx, submitInterval); job++ {
		id := fmt.Sprintf("j-%d-%d", number, job)
		for item := range itemsPerJob {
			soak.history.RecordRequest(stager.ItemID(id, item), false)
		}

		for tries := 0; ctx.Err() == nil; tries++ {
			if caller.Submit(ctx, "/batch/", id, itemsPerJob) == http.StatusAccepted {
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

// readJob reads a job, at times from an earlier position. An accepted job is
// known wherever it is read.
func (soak *Soak) readJob(ctx context.Context, caller stager.Caller, id string) {
	kernel.Pause(ctx, readInterval)

	after := 0
	if known := soak.history.ResultCount(id); known > 0 {
		after = soak.random.intN(known + 1)
	}

	status, results := caller.ReadResults(ctx, id, after)

	switch {
	case status == http.StatusOK:
		soak.history.RecordResults(id, after, results)
	case status == http.StatusNotFound && ctx.Err() == nil:
		soak.history.RecordViolation("LOST: job %s is not found after it was accepted", id)
	}
}
