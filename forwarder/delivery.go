package forwarder

import (
	"context"
	"slices"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"limpetrail/exchanger"
	"limpetrail/matcher"
	"limpetrail/placer"
	"limpetrail/quarantiner"
	"limpetrail/resumer"
)

// delivery is the state of one call over all of its attempts.
type delivery struct {
	forwarder *Forwarder
	call      *Call
	sink      Sink
	startedAt time.Time
	// spentBefore is the estimated time that the caller had used up before the call
	// arrived.
	spentBefore time.Duration

	// quarantineRequest describes the call by what it has in common with others.
	quarantineRequest quarantiner.Request

	// triedServers holds the IDs of the servers that are not tried again.
	triedServers []string
	// attempts is how many servers may have run the call.
	attempts int
	// rejections is how many servers have certainly not run the call: they refused
	// it, or it was not sent.
	rejections int
	// headSent is true once the head of an answer was passed on. From then on the
	// answer can only be continued, not replaced.
	headSent bool
	// streamStarted is true once a server sent the head of a stream.
	streamStarted bool
	// lastEventID is the number of the last event that was passed on, or -1.
	lastEventID     int
	status          int
	eventCount      int
	timeToFirstByte time.Duration
	queueTime       time.Duration
	// serverID and software are of the server that was tried last.
	serverID string
	software string
	// origin is where the stream began, once an event was passed on or if the caller takes the
	// stream up.
	origin resumer.Origin
	// run is the attempt that was made last.
	run *quarantiner.Run
}

// deliver makes attempts until the call has ended.
func (delivery *delivery) deliver(ctx context.Context) Result {
	if refused, possible := delivery.resolveOrigin(ctx); !possible {
		return refused
	}

	call := delivery.call
	delivery.quarantineRequest = quarantiner.Request{
		ID: call.ID, Service: call.Service, Parts: delivery.forwarder.Backend.SharedParts(call.Header),
		Fingerprint: quarantiner.Fingerprint(call.Body, call.Caller, call.Method, call.Host, call.Target),
	}

	for {
		if result, ended := delivery.tryNext(ctx); ended {
			return result
		}
	}
}

// tryNext gets a place for the call and makes one attempt. It returns false if another
// attempt is to follow.
func (delivery *delivery) tryNext(ctx context.Context) (Result, bool) {
	if block, blocked := delivery.forwarder.Quarantiner.Check(delivery.quarantineRequest); blocked {
		return delivery.resultOfBlock(block), true
	}

	decision := delivery.forwarder.Placer.Place(ctx, delivery.placementRequest())
	delivery.queueTime += decision.Waited

	if decision.Verdict != placer.Placed {
		return delivery.resultWithoutPlace(ctx, decision), true
	}

	defer decision.Grant.Release()

	// The call may have waited for its place, or another part was found deadly meanwhile.
	run, block, blocked := delivery.forwarder.Quarantiner.Start(delivery.quarantineRequest, decision.Grant.Server)
	if blocked {
		return delivery.resultOfBlock(block), true
	}

	defer run.Close()

	delivery.run, delivery.serverID, delivery.software = run, decision.Grant.Server.ID, decision.Grant.Server.Software

	return delivery.attempt(ctx, decision.Grant)
}

func (delivery *delivery) placementRequest() placer.Work {
	work := placer.Work{
		RequestID: delivery.call.ID,
		Service:   delivery.call.Service,
		Priority:  delivery.call.Route.Priority,
		MaxWait:   min(fraction(queueShare, latencyTarget(delivery.call.Route)), time.Until(delivery.call.Deadline)),
		Elapsed:   delivery.spentBefore,
		Prefix:    delivery.call.PrefixHash,
		Exclude:   delivery.triedServers,
	}

	if delivery.isContinuation() {
		work.Continues, work.Software = true, delivery.origin.Software
	}

	if delivery.streamStarted || delivery.isContinuation() {
		// Goes ahead of the calls of all routes: this caller has waited longest, and an
		// incomplete answer is of no use to it.
		work.Priority, work.MaxWait = -1, resumeQueueLimit
	}

	return work
}

// attempt sends the call to one server. It returns false if another server is to be
// tried.
func (delivery *delivery) attempt(ctx context.Context, grant *placer.Grant) (Result, bool) {
	startedAt := time.Now()
	lastAttempt := delivery.isLastAttempt()
	attempt := Attempt{
		Remaining: time.Until(delivery.call.Deadline), FirstByteDeadline: delivery.call.Deadline, LastEventID: delivery.lastEventID,
		Withdrawn: grant.Withdrawn, Repeatable: delivery.call.Route.Repeatable(),
	}

	if !lastAttempt {
		attempt.ShouldGiveUp = delivery.mayRetryElsewhere
		attempt.FirstByteDeadline = startedAt.Add(fraction(firstByteShare, latencyTarget(delivery.call.Route)))
	}

	if delivery.isContinuation() {
		delivery.logEntry(grant, "").WithFields(logrus.Fields{"Software": grant.Server.Software, "Resumes": delivery.call.Resumes, "TakenUp": delivery.call.LastEventID >= 0}).Info("Continuing a stream.")
	}

	reply, err := delivery.forwarder.Backend.Send(ctx, grant.Server, delivery.call, attempt)
	if err != nil {
		return delivery.handleFailure(ctx, grant, err, lastAttempt)
	}

	reply.RecordAnnouncements(grant, delivery.call.ID)

	switch reply.Kind {
	case Full, Misdirected:
		return delivery.handleRejection(grant, reply.Kind)
	case Mismatched:
		delivery.attempts++
		delivery.triedServers = append(delivery.triedServers, grant.Server.ID)
		grant.Observe(placer.Broken, 0)

		return delivery.retryOrEnd(grant, "The answer belongs to another request.", lastAttempt)
	default:
	}

	defer reply.Answer.Close()

	grant.Observe(placer.Answered, time.Since(startedAt))
	delivery.forwarder.budgets.GetOrCreate(delivery.call.Service).RecordSuccess()

	delivery.attempts++
	delivery.triedServers = append(delivery.triedServers, grant.Server.ID)

	if reply.Answer.Status >= 500 && !lastAttempt && !delivery.headSent {
		grant.Observe(observationOf(reply.Answer), 0)

		return delivery.retryOrEnd(grant, "The backend server failed.", lastAttempt)
	}

	if delivery.isEventStream(reply.Answer) {
		return delivery.forwardStream(ctx, grant, reply.Answer, lastAttempt)
	}

	if delivery.headSent {
		return delivery.retryOrEnd(grant, "The answer does not continue the stream.", lastAttempt)
	}

	return delivery.forwardWhole(ctx, grant, reply.Answer, lastAttempt)
}

// mayRetryElsewhere reports whether a silent attempt may be abandoned and retried:
// another server can take the call and the retry budget, from which it takes one retry,
// is not spent. In an overload many attempts are silent, and retrying them all would add
// to it.
func (delivery *delivery) mayRetryElsewhere() bool {
	work := delivery.placementRequest()
	work.Exclude = append(slices.Clone(work.Exclude), delivery.serverID)

	if !delivery.forwarder.Placer.HasCandidate(work) {
		return false
	}

	return delivery.forwarder.budgets.GetOrCreate(delivery.call.Service).AllowRetry()
}

// isLastAttempt reports whether the call may not be sent to another server after the
// next attempt.
func (delivery *delivery) isLastAttempt() bool {
	return !delivery.call.Route.Repeatable() || delivery.attempts+1 >= delivery.call.Route.AttemptLimit
}

// handleFailure ends or retries a call after an attempt that got no answer.
func (delivery *delivery) handleFailure(ctx context.Context, grant *placer.Grant, err error, lastAttempt bool) (Result, bool) {
	failure := exchanger.FailureError{}
	if !errors.As(err, &failure) {
		failure = exchanger.FailureError{Kind: exchanger.Interrupted, Cause: err}
	}

	delivery.triedServers = append(delivery.triedServers, grant.Server.ID)

	switch failure.Kind {
	case exchanger.Unsent:
		delivery.recordUnsent(grant, failure)

		return delivery.continueAfterRejection()
	case exchanger.Cancelled:
		delivery.attempts++
		delivery.run.Abandon()

		return Result{Outcome: Cancelled, Reason: "The caller disconnected or the call's time ended."}, true
	case exchanger.Unanswered:
		delivery.attempts++

		delivery.run.Abandon()
		grant.Observe(placer.Silent, 0)
	default:
		delivery.attempts++

		grant.Observe(delivery.run.BreakOff(ctx, failure.Error()), 0)
	}

	return delivery.retryOrEnd(grant, failure.Error(), lastAttempt)
}

// recordUnsent logs why nothing was sent: the server was withdrawn while a connection
// was made, or no connection could be made.
func (delivery *delivery) recordUnsent(grant *placer.Grant, failure exchanger.FailureError) {
	switch {
	case errors.Is(failure.Cause, exchanger.ErrWithdrawn):
		delivery.logEntry(grant, failure.Error()).Info("Backend server was withdrawn before the request was sent.")

		return
	case errors.Is(failure.Cause, exchanger.ErrRestarted):
		delivery.logEntry(grant, failure.Error()).WithField("Software", grant.Server.Software).Info("Backend server has started again since it was listed; the stream does not go on there.")

		return
	}

	grant.Observe(placer.Unreachable, 0)

	if errors.Is(failure.Cause, syscall.ECONNREFUSED) {
		delivery.forwarder.Quarantiner.RecordRefusal(grant.Server)
	}

	delivery.logEntry(grant, failure.Error()).Info("Could not connect to the backend server.")
}

// handleRejection records that a server refused the call without running it.
func (delivery *delivery) handleRejection(grant *placer.Grant, kind ReplyKind) (Result, bool) {
	delivery.triedServers = append(delivery.triedServers, grant.Server.ID)

	if kind == Full {
		grant.Observe(placer.Full, 0)
	} else {
		grant.Observe(placer.Unreachable, 0)
	}

	delivery.logEntry(grant, "not run").Info("Backend server refused the request without running it.")

	return delivery.continueAfterRejection()
}

// continueAfterRejection goes on to another server after one that has certainly not
// run the call, and ends the call after maxRejections.
func (delivery *delivery) continueAfterRejection() (Result, bool) {
	delivery.rejections++
	if delivery.rejections < maxRejections {
		return Result{}, false
	}

	switch {
	case delivery.headSent:
		return Result{Outcome: Broken, Reason: "No backend server can continue the answer."}, true
	case delivery.attempts > 0:
		return Result{Outcome: Failed, Reason: "No backend server is left to ask."}, true
	default:
		return Result{Outcome: Refused, RetryAfter: retryAfterRejections, Reason: "All backend servers asked were full."}, true
	}
}

// retryAfterRejections is how long a caller is asked to wait after several servers were
// full. A few of their requests have ended by then.
const retryAfterRejections = 200 * time.Millisecond

// retryOrEnd continues with another server after an attempt that may have run, or ends
// the call if this was the last attempt.
func (delivery *delivery) retryOrEnd(grant *placer.Grant, reason string, lastAttempt bool) (Result, bool) {
	if !lastAttempt {
		delivery.logEntry(grant, reason).Info("Trying a request again.")

		return Result{}, false
	}

	switch {
	case delivery.headSent:
		return Result{Outcome: Broken, Reason: reason}, true
	case !time.Now().Before(delivery.call.Deadline):
		// Reads have the call's deadline, so a read may time out before the context does.
		return Result{Outcome: TimedOut, Reason: reason}, true
	default:
		return Result{Outcome: Failed, Reason: reason}, true
	}
}

func (delivery *delivery) logEntry(grant *placer.Grant, reason string) *logrus.Entry {
	return delivery.forwarder.log(delivery.call, logrus.Fields{
		"BackendServer": grant.Server.ID, "Reason": reason, "Sent": delivery.attempts, "After": delivery.lastEventID,
	})
}

func (delivery *delivery) isEventStream(answer *exchanger.Answer) bool {
	media := answer.Header.Get("Content-Type")

	return delivery.call.Route.Kind == matcher.Stream && answer.Status == 200 &&
		slices.Contains([]string{"text/event-stream", "text/event-stream; charset=utf-8"}, media)
}
