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
	// maxPullItems bounds the items in one Pull reply.
	maxPullItems = 256
	// maxPullBytes bounds the bodies of the items in one Pull reply.
	maxPullBytes = 8 << 20
	// itemTimeout is the time that an item may take at a sidecar.
	itemTimeout = time.Hour
	// maxInputReads is how often the input of items is read before they fail
	// because no holder has it.
	maxInputReads = 20
	// inputRetryDelay is the delay between these reads.
	inputRetryDelay = 5 * time.Second
	// cancelPause is how long a job hands out no items while its cancellation
	// is not recorded yet.
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

// NewServer returns a server for the jobs of a scheduler.
func NewServer(scheduler *Scheduler) *Server {
	return &Server{Scheduler: scheduler}
}

// RegisterService implements messenger.Service.
func (server *Server) RegisterService(mux drpc.Mux) error {
	return messenger.DRPCRegisterJobs(mux, server)
}

// Pull assigns items of one job to the calling sidecar.
func (server *Server) Pull(ctx context.Context, request *messenger.PullRequest) (*messenger.PullReply, error) {
	server.Recorder.Clock.Observe(recorder.Stamp(request.GetClock()))

	reply := &messenger.PullReply{LeaseMicros: uint64(server.Settings.ItemLease.Microseconds())}
	limit := min(int(request.GetLimit()), maxPullItems)
	now := time.Now()

	server.mutex.Lock()
	job := server.chooseJob(now, request.GetService(), request.GetInstance())

	if job == nil || limit == 0 {
		server.mutex.Unlock()

		return server.withClock(reply), nil
	}

	indexes, alone := job.assignNext(now, request.GetInstance(), limit, server.Settings.ItemLease)
	server.rememberLastJob(request.GetInstance(), job.id)
	server.mutex.Unlock()

	items, err := server.prepareItems(ctx, job, indexes, alone)
	if err != nil {
		server.Log.WithError(err).WithField("JobID", job.id).Warn("Failed to hand out items of a job.")
	}

	reply.Items = items

	return server.withClock(reply), nil
}

// withClock sets the clock of the reply and returns it.
func (server *Server) withClock(reply *messenger.PullReply) *messenger.PullReply {
	reply.Clock = uint64(server.Recorder.Clock.Now())

	return reply
}

// Complete applies the results that a sidecar reports and renews the assignments
// of its running items. Results of non-idempotent items are acknowledged only
// once they are committed.
func (server *Server) Complete(ctx context.Context, request *messenger.CompleteRequest) (*messenger.CompleteReply, error) {
	server.Recorder.Clock.Observe(recorder.Stamp(request.GetClock()))

	reply := &messenger.CompleteReply{}
	toCommit := map[string]*job{}
	now := time.Now()

	server.mutex.Lock()

	for _, result := range request.GetResults() {
		job := server.ownedJob(result.GetJobId(), reply)
		if job == nil || int(result.GetIndex()) >= job.record.Items {
			continue
		}

		server.applyResult(now, job, result)

		if !job.idempotent {
			toCommit[job.id] = job
		}
	}

	for _, key := range request.GetRunning() {
		if job := server.ownedJob(key.GetJobId(), reply); job != nil {
			server.renewAssignment(now, job, int(key.GetIndex()), request.GetInstance())
		}
	}

	server.mutex.Unlock()

	for _, job := range toCommit {
		if err := server.commit(ctx, job, nil); err != nil {
			return nil, errors.Trace(err)
		}
	}

	reply.Clock = uint64(server.Recorder.Clock.Now())

	return reply, nil
}

// ownedJob returns the job if this entry owns it, or nil. If the job is
// cancelled, ended or not owned, it adds this to the reply for the sidecar. The
// caller holds the mutex.
func (scheduler *Scheduler) ownedJob(id string, reply *messenger.CompleteReply) *job {
	job, found := scheduler.jobs[id]
	_, ended := scheduler.endedStates[id]

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

// renewAssignment extends the assignment of an item that the sidecar is running,
// unless another sidecar has it. The caller holds the mutex.
func (scheduler *Scheduler) renewAssignment(now time.Time, job *job, index int, instance string) {
	if index >= job.record.Items || job.hasResult(index) {
		return
	}

	assigned := job.assignments[index]
	if assigned == nil || assigned.instance == instance || assigned.instance == "" {
		job.assign(index, instance, now.Add(scheduler.Settings.ItemLease))
		job.requeued = slices.DeleteFunc(job.requeued, func(other int) bool { return other == index })
	}
}

// applyResult applies one reported result. The caller holds the mutex.
func (scheduler *Scheduler) applyResult(now time.Time, job *job, result *messenger.ItemResult) {
	index := int(result.GetIndex())

	if job.hasResult(index) {
		delete(job.assignments, index)

		return
	}

	switch {
	case result.GetFate() == messenger.Fate_FATE_ANSWERED:
		job.bufferResult(now, newResult(result))
	case job.assignments[index] == nil:
		// The report is about an earlier assignment that has expired.
	case result.GetFate() == messenger.Fate_FATE_NOT_RUN:
		if !job.idempotent {
			job.notStarted = append(job.notStarted, index)
		}

		job.requeue(index)
	case !job.idempotent:
		job.bufferResult(now, Result{Index: index, Fate: ItemMayHaveRun, Reason: result.GetReason()})
	case result.GetFate() == messenger.Fate_FATE_QUEUED:
		// A leaving sidecar stopped the item, which is neither a failure of the
		// item nor of the engine.
		job.requeue(index)
	default:
		scheduler.recordFailure(now, job, result)
	}
}

// recordFailure handles an item that ended without an answer. The item runs alone
// next, so that it cannot make other items fail, and it fails for good once it
// alone has caused Settings.Attempts failures, or Settings.Breaks in all. The
// caller holds the mutex.
func (scheduler *Scheduler) recordFailure(now time.Time, job *job, result *messenger.ItemResult) {
	index := int(result.GetIndex())
	delete(job.assignments, index)

	job.retries[index]++
	job.failures[index]++

	// The item itself caused a refusal; it caused a failure of the engine only if
	// nothing else was running.
	if result.GetConfirmed() && (result.GetAlone() || result.GetStatus() != 0) {
		job.confirmedFailures[index]++
	}

	if job.confirmedFailures[index] >= scheduler.Settings.Attempts || job.failures[index] >= scheduler.Settings.Breaks {
		job.bufferResult(now, Result{Index: index, Fate: ItemFailed, Reason: result.GetReason()})

		return
	}

	// A refused item cannot make other items fail, so it needn't run alone.
	if result.GetStatus() != 0 {
		job.requeued = append(job.requeued, index)

		return
	}

	// The first run alone starts at once, as most suspects did not cause the
	// failure.
	pause := time.Duration(job.failures[index]-1) * scheduler.Settings.BreakPause
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

// CancelJob pauses a job that is about to be cancelled, and marks it as cancelling
// once the cancellation is recorded.
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
		server.recordEvent(recorder.KindCancelled, request.GetJobId())

		// The cancellation is recorded already, so a failed reload is not an error.
		if err := server.reloadRecord(context.WithoutCancel(ctx), job); err != nil {
			server.Log.WithError(err).Warn("Failed to reload the record of a cancelled job; the next commit will load it.")
		}
	}

	return &messenger.CancelJobReply{Clock: uint64(server.Recorder.Clock.Now()), Owned: found}, nil
}
