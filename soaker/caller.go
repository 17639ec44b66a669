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
	// callPause is the mean pause between two requests of a caller.
	callPause = 60 * time.Millisecond
	// jobPause lies between two jobs of a submitter, readPause between two reads.
	jobPause  = 1500 * time.Millisecond
	readPause = 400 * time.Millisecond
	// callTimeout is above what a gateway may take.
	callTimeout = 8 * time.Second
	jobItems    = 6
)

// caller keeps its connections open: the balancer only chooses where a new one
// goes.
func (soak *Soak) caller() stager.Caller {
	return stager.Caller{
		Address: "balancer", Keep: true,
		Client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
				return (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, soak.gateway(soak.pick()).Callers)
			},
		}},
	}
}

// call sends requests for events until the context ends. Those under way are
// finished.
func (soak *Soak) call(ctx context.Context, number int) {
	caller := soak.caller()
	defer caller.Client.CloseIdleConnections()

	for request := 0; kernel.Pause(ctx, soak.random.between(0, 2*callPause)); request++ {
		id := fmt.Sprintf("r-%d-%d", number, request)
		once := soak.random.intN(2) == 0

		target := "/stream/x"
		if once {
			target = "/once/x"
		}

		soak.history.Send(id, once)
		soak.history.Answer(id, caller.Stream(context.WithoutCancel(ctx), target, id))
	}
}

// submit hands in jobs until the context ends, and reads them.
func (soak *Soak) submit(ctx context.Context, number int) {
	caller := soak.caller()
	defer caller.Client.CloseIdleConnections()

	jobs := []string{}

	for job := 0; kernel.Pause(ctx, jobPause); job++ {
		id := fmt.Sprintf("j-%d-%d", number, job)
		for item := range jobItems {
			soak.history.Send(stager.ItemID(id, item), false)
		}

		for tries := 0; ctx.Err() == nil; tries++ {
			if caller.Submit(ctx, "/batch/", id, jobItems) == http.StatusAccepted {
				soak.history.Accept(id, jobItems)

				jobs = append(jobs, id)

				break
			}

			kernel.Pause(ctx, readPause)
		}

		if len(jobs) > 0 {
			soak.readJob(ctx, caller, jobs[soak.random.intN(len(jobs))])
		}
	}
}

// readJob reads a job, at times from an earlier position. An accepted job is
// known wherever it is read.
func (soak *Soak) readJob(ctx context.Context, caller stager.Caller, id string) {
	kernel.Pause(ctx, readPause)

	after := 0
	if known := soak.history.Known(id); known > 0 {
		after = soak.random.intN(known + 1)
	}

	status, results := caller.Read(ctx, id, after)

	switch {
	case status == http.StatusOK:
		soak.history.Read(id, after, results)
	case status == http.StatusNotFound && ctx.Err() == nil:
		soak.history.Break("LOST: job %s is not found after it was accepted", id)
	}
}
