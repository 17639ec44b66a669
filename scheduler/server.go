package scheduler

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"
	"storj.io/drpc"

	"limpetrail/messenger"
	"limpetrail/recorder"
)

const (
	// maxWindow bounds the items of one answer.
	maxWindow = 256
	// maxWindowBytes bounds their bodies.
	maxWindowBytes = 8 << 20
	// itemTime is the time that an item may take at a sidecar.
	itemTime = time.Hour
	// inputReads is how often the input of items is looked for before they
	// are failed.
	inputReads = 20
	// inputPause is the time between those.
	inputPause = 5 * time.Second
	// cancelPause is how long a job pauses for a cancellation that is not
	// recorded yet.
	cancelPause = 10 * time.Second
)

// Server hands out items to sidecars.
type Server struct {
	*Scheduler
}

var (
	_ messenger.DRPCJobsServer = (*Server)(nil)
	_ messenger.Service        = (*Server)(nil)
)

// NewServer returns the server of a scheduler.
func NewServer(scheduler *Scheduler) *Server {
	return &Server{Scheduler: scheduler}
}

// RegisterService implements messenger.Service.
func (server *Server) RegisterService(mux drpc.Mux) error {
	return messenger.DRPCRegisterJobs(mux, server)
}

// Pull hands out a window of items of one job.
func (server *Server) Pull(ctx context.Context, request *messenger.PullRequest) (*messenger.PullReply, error) {
	server.Recorder.Clock.Observe(recorder.Stamp(request.GetClock()))

	reply := &messenger.PullReply{LeaseMicros: uint64(server.Settings.ItemLease.Microseconds())}
	limit := min(int(request.GetLimit()), maxWindow)
	now := time.Now()

	server.mutex.Lock()
	job := server.choose(now, request.GetService(), request.GetInstance())

	if job == nil || limit == 0 {
		server.mutex.Unlock()

		return server.stamp(reply), nil
	}

	indexes, alone := job.take(now, request.GetInstance(), limit, server.Settings.ItemLease)
	server.remember(request.GetInstance(), job.id)
	server.mutex.Unlock()

	items, err := server.items(ctx, job, indexes, alone)
	if err != nil {
		server.Log.WithError(err).WithField("JobID", job.id).Warn("Items were not handed out.")
	}

	reply.Items = items

	return server.stamp(reply), nil
}

func (server *Server) stamp(reply *messenger.PullReply) *messenger.PullReply {
	reply.Clock = uint64(server.Recorder.Clock.Now())

	return reply
}

// Complete takes in results and signs of life. Results of non-idempotent items
// are acknowledged only once they are recorded.
func (server *Server) Complete(ctx context.Context, request *messenger.CompleteRequest) (*messenger.CompleteReply, error) {
	server.Recorder.Clock.Observe(recorder.Stamp(request.GetClock()))

	reply := &messenger.CompleteReply{}
	recorded := map[string]*job{}
	now := time.Now()

	server.mutex.Lock()

	for _, result := range request.GetResults() {
		job := server.owned(result.GetJobId(), reply)
		if job == nil || int(result.GetIndex()) >= job.record.Items {
			continue
		}

		server.take(now, job, result)

		if !job.idempotent {
			recorded[job.id] = job
		}
	}

	for _, key := range request.GetRunning() {
		if job := server.owned(key.GetJobId(), reply); job != nil {
			server.renew(now, job, int(key.GetIndex()), request.GetInstance())
		}
	}

	server.mutex.Unlock()

	for _, job := range recorded {
		if err := server.commit(ctx, job, nil); err != nil {
			return nil, errors.Trace(err)
		}
	}

	reply.Clock = uint64(server.Recorder.Clock.Now())

	return reply, nil
}

// owned returns the job if this entry owns it, with the mutex held, and notes
// in the reply what the sidecar has to know of it.
func (scheduler *Scheduler) owned(id string, reply *messenger.CompleteReply) *job {
	job, found := scheduler.jobs[id]
	_, ended := scheduler.ended[id]

	switch {
	case found && !job.cancelling:
		return job
	case found || ended:
		if !slices.Contains(reply.CancelledJobIds, id) {
			reply.CancelledJobIds = append(reply.CancelledJobIds, id)
		}

		return job
	default:
		if !slices.Contains(reply.UnknownJobIds, id) {
			reply.UnknownJobIds = append(reply.UnknownJobIds, id)
		}

		return nil
	}
}

func (scheduler *Scheduler) renew(now time.Time, job *job, index int, instance string) {
	if index >= job.record.Items || job.settled(index) {
		return
	}

	handed := job.handed[index]
	if handed == nil || handed.instance == instance || handed.instance == "" {
		job.hand(index, instance, now.Add(scheduler.Settings.ItemLease))
		job.requeued = slices.DeleteFunc(job.requeued, func(other int) bool { return other == index })
	}
}

// take takes in one result, with the mutex held.
func (scheduler *Scheduler) take(now time.Time, job *job, result *messenger.ItemResult) {
	index := int(result.GetIndex())

	if job.settled(index) {
		delete(job.handed, index)

		return
	}

	switch {
	case result.GetFate() == messenger.Fate_FATE_ANSWERED:
		job.finish(now, newResult(result))
	case job.handed[index] == nil:
		// An earlier hand-out, taken back since.
	case result.GetFate() == messenger.Fate_FATE_NOT_RUN:
		if !job.idempotent {
			job.unstarted = append(job.unstarted, index)
		}

		job.giveBack(index)
	case !job.idempotent:
		job.finish(now, Result{Index: index, Fate: ItemMayHaveRun, Reason: result.GetReason()})
	case result.GetFate() == messenger.Fate_FATE_QUEUED:
		// A leaving sidecar stopped it; that speaks against neither.
		job.giveBack(index)
	default:
		scheduler.broke(now, job, result)
	}
}

// broke deals with an item that ended without an answer. It runs alone next,
// so that it can harm no neighbour, and fails once it has broken its backend
// server often enough on its own.
func (scheduler *Scheduler) broke(now time.Time, job *job, result *messenger.ItemResult) {
	index := int(result.GetIndex())
	delete(job.handed, index)

	job.tries[index]++
	job.breaks[index]++

	// A refusal is the item's own; a break only where nothing else ran.
	if result.GetConfirmed() && (result.GetAlone() || result.GetStatus() != 0) {
		job.proven[index]++
	}

	if job.proven[index] >= scheduler.Settings.Attempts || job.breaks[index] >= scheduler.Settings.Breaks {
		job.finish(now, Result{Index: index, Fate: ItemFailed, Reason: result.GetReason()})

		return
	}

	// A refused item harms no neighbour.
	if result.GetStatus() != 0 {
		job.requeued = append(job.requeued, index)

		return
	}

	// The first run alone follows at once: most suspects are innocent.
	pause := time.Duration(job.breaks[index]-1) * scheduler.Settings.BreakPause
	job.suspects = append(job.suspects, suspect{index: index, notBefore: now.Add(pause)})
}

func newResult(result *messenger.ItemResult) Result {
	return Result{
		Index:        int(result.GetIndex()),
		Fate:         ItemAnswered,
		Status:       int(result.GetStatus()),
		Body:         result.GetBody(),
		FinishReason: result.GetFinishReason(),
		PromptTokens: int(result.GetPromptTokens()),
		Tokens:       int(result.GetTokens()),
	}
}

// CancelJob pauses a job that is about to be cancelled, or ends it once the
// record says so.
func (server *Server) CancelJob(ctx context.Context, request *messenger.CancelJobRequest) (*messenger.CancelJobReply, error) {
	server.Recorder.Clock.Observe(recorder.Stamp(request.GetClock()))

	server.mutex.Lock()
	job, found := server.jobs[request.GetJobId()]

	if found {
		job.pausedUntil = time.Now().Add(cancelPause)
		job.cancelling = job.cancelling || request.GetRecorded()
	}
	server.mutex.Unlock()

	if found && request.GetRecorded() {
		server.event(recorder.KindCancelled, request.GetJobId())

		// The record holds the cancellation; what else happens can wait.
		if err := server.reload(context.WithoutCancel(ctx), job); err != nil {
			server.Log.WithError(err).Warn("A cancelled job was not read again yet.")
		}
	}

	return &messenger.CancelJobReply{Clock: uint64(server.Recorder.Clock.Now()), Owned: found}, nil
}
